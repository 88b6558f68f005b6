#pragma once

// The report page: one HTML file without references to others, with plots of
// the moves' shares and evidence and of the service of each class over time.

#include <string>
#include <vector>

#include "operator/samples.h"
#include "operator/status.h"

namespace guavahaven::operators {

// 'samples': of each daemon that could be asked. 'now': microseconds since 1970.
std::string report_page(const std::vector<daemon_status>& daemons,
                        const std::vector<std::vector<sample>>& samples, std::uint64_t now);

} // namespace guavahaven::operators
