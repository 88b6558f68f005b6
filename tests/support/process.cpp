#include "support/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

namespace guavahaven::support {

namespace {

constexpr std::chrono::seconds stop_timeout{40};
constexpr std::chrono::milliseconds poll_interval{5};

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

std::string binary_folder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

std::string scratch_folder()
{
    struct folder {
        std::string path_;
        folder()
        {
            std::string name = (std::filesystem::temp_directory_path() / "guavahaven-XXXXXX").string();
            path_ = mkdtemp(name.data());
        }
        folder(const folder&) = delete;
        folder& operator=(const folder&) = delete;
        ~folder()
        {
            std::error_code ignored;
            std::filesystem::remove_all(path_, ignored);
        }
    };
    static const folder scratch;
    static int count = 0;
    const std::string path = scratch.path_ + "/" + std::to_string(++count);
    std::filesystem::create_directory(path);
    return path;
}

// Ports below those that the system gives to outgoing connections, so that none
// of them is taken in between; each process begins elsewhere.
std::uint16_t free_port()
{
    constexpr unsigned first = 10'000;
    constexpr unsigned count = 22'000;
    constexpr unsigned stride = 1'009; // ports between the beginnings of processes with successive ids
    static unsigned next = static_cast<unsigned>(getpid()) * stride;
    while (true) {
        const auto port = static_cast<std::uint16_t>(first + next++ % count);
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool free = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
        close(fd);
        if (free)
            return port;
    }
}

process::process(const std::string& binary, const std::vector<std::string>& arguments,
                 const std::string& output_path)
{
    const std::string path = binary_folder() + "/" + binary;
    std::vector<char*> argv{const_cast<char*>(path.c_str())};
    for (const std::string& a : arguments)
        argv.push_back(const_cast<char*>(a.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, output_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    if (posix_spawn(&id_, path.c_str(), &files, nullptr, argv.data(), environ) != 0)
        id_ = -1;
    posix_spawn_file_actions_destroy(&files);
}

process::~process()
{
    kill();
}

process::process(process&& other) noexcept : id_(std::exchange(other.id_, -1)), status_(other.status_) {}

process& process::operator=(process&& other) noexcept
{
    if (this != &other) {
        kill();
        id_ = std::exchange(other.id_, -1);
        status_ = other.status_;
    }
    return *this;
}

bool process::reap(bool wait)
{
    if (id_ < 0)
        return true;
    int raw = 0;
    if (waitpid(id_, &raw, wait ? 0 : WNOHANG) != id_)
        return false;
    status_ = WIFEXITED(raw) ? WEXITSTATUS(raw) : -1;
    id_ = -1;
    return true;
}

bool process::running()
{
    return !reap(false);
}

int process::stop()
{
    if (id_ < 0)
        return status_;
    ::kill(id_, SIGTERM);
    const auto give_up = std::chrono::steady_clock::now() + stop_timeout;
    while (std::chrono::steady_clock::now() < give_up) {
        if (reap(false))
            return status_;
        std::this_thread::sleep_for(poll_interval);
    }
    kill();
    return -1;
}

void process::kill()
{
    if (id_ < 0)
        return;
    ::kill(id_, SIGKILL);
    reap(true);
}

void process::freeze()
{
    ::kill(id_, SIGSTOP);
}
void process::thaw()
{
    ::kill(id_, SIGCONT);
}

double process::cpu_seconds() const
{
    const std::string stat = read_file("/proc/" + std::to_string(id_) + "/stat");
    std::istringstream fields(stat.substr(std::min(stat.rfind(')') + 2, stat.size())));
    std::string skipped;
    constexpr int fields_before_times = 11;
    for (int i = 0; i < fields_before_times; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_mb(pid_t process)
{
    std::istringstream fields(read_file("/proc/" + std::to_string(process) + "/statm"));
    double total = 0;
    double resident = 0;
    fields >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

finished run(const std::string& binary, const std::vector<std::string>& arguments)
{
    const std::string output = scratch_folder() + "/output";
    process p(binary, arguments, output);
    const auto give_up = std::chrono::steady_clock::now() + stop_timeout;
    while (p.running() && std::chrono::steady_clock::now() < give_up)
        std::this_thread::sleep_for(poll_interval);
    const int status = p.running() ? -1 : p.stop();
    return {status, read_file(output)};
}

} // namespace guavahaven::support
