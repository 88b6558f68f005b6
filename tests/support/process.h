#pragma once

// Child processes of tests, the demo and the bench. Only these start processes.

#include <sys/types.h>

#include <string>
#include <vector>

namespace guavahaven::support {

// Folder of the built binaries: that of the running one.
std::string binary_folder();

// A fresh folder for files of this run, removed at exit.
std::string scratch_folder();

// Resident memory of a process, in MB.
double resident_mb(pid_t process);

// A port on 127.0.0.1 that was free a moment ago; no two calls yield the same.
std::uint16_t free_port();

class process {
public:
    // Starts a binary of binary_folder(); its output goes to output_path.
    process(const std::string& binary, const std::vector<std::string>& arguments,
            const std::string& output_path);
    ~process(); // kills it if it still runs
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;

    pid_t id() const { return id_; }
    bool running();
    // Sends SIGTERM and waits; the exit status, or -1 if it had to be killed.
    int stop();
    void kill();   // SIGKILL, and waits
    void freeze(); // SIGSTOP
    void thaw();   // SIGCONT
    // Processor time used so far, user and system, in seconds.
    double cpu_seconds() const;
    // Resident memory, in MB.
    double resident_mb() const { return support::resident_mb(id_); }

private:
    bool reap(bool wait);

    pid_t id_ = -1;
    int status_ = -1;
};

struct finished {
    int status_ = 0;
    std::string output_; // standard output and error
};

// Runs a binary of binary_folder() to its end.
finished run(const std::string& binary, const std::vector<std::string>& arguments);

} // namespace guavahaven::support
