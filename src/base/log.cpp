#include "base/log.h"

#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <climits>
#include <cstdint>

namespace guavahaven {

namespace {

// Writes each line whole or not at all, without blocking: a reader of the pipe that
// has stopped reading must not stop the daemon. The next line that is written
// carries the number of dropped lines.
class pipe_appender final : public log4cxx::AppenderSkeleton {
public:
    explicit pipe_appender(log4cxx::LayoutPtr layout) : layout_(std::move(layout))
    {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        static_cast<void>(fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK));
    }

    void close() override {}
    bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override
    {
        log4cxx::LogString text;
        layout_->format(text, event, pool);
        std::string line(text.begin(), text.end());
        if (dropped_ > 0)
            line.insert(line.size() - 1, " lines_dropped=" + std::to_string(dropped_));
        // A write of up to PIPE_BUF bytes to a pipe is atomic.
        if (line.size() <= PIPE_BUF &&
            ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size()))
            dropped_ = 0;
        else
            ++dropped_;
    }

private:
    log4cxx::LayoutPtr layout_;
    std::uint64_t dropped_ = 0;
};

} // namespace

void start_logging(const std::string& level)
{
    const auto layout =
        std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z %p %c %m%n");
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(std::make_shared<pipe_appender>(layout));
    root->setLevel(log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void log_info(const std::string& source, const std::string& event, const std::string& detail)
{
    LOG4CXX_INFO(log4cxx::Logger::getLogger(source), "event=" + event + (detail.empty() ? "" : " " + detail));
}

void log_warning(const std::string& source, const std::string& event, const std::string& detail)
{
    LOG4CXX_WARN(log4cxx::Logger::getLogger(source), "event=" + event + (detail.empty() ? "" : " " + detail));
}

} // namespace guavahaven
