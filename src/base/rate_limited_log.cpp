#include "base/rate_limited_log.h"

#include "base/log.h"

namespace guavahaven {

bool paced_log::take(time_point now)
{
    if (budget_.take(now))
        return true;
    ++left_out_;
    return false;
}

void paced_log::write(const std::string& event, std::string detail)
{
    if (left_out_ > 0)
        detail += " lines_left_out=" + std::to_string(left_out_);
    left_out_ = 0;
    log_info(source_, event, detail);
}

} // namespace guavahaven
