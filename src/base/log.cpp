#include "base/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace guavahaven {

void start_logging(const std::string& level)
{
    const auto layout =
        std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z %p %c %m%n");
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(console);
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
