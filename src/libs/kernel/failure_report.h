#pragma once

#include <string_view>

namespace mjm {

/// Makes the process write a line of the log's form to standard error before an uncaught exception or a fatal
/// signal ends it. Signals that end it on request, such as SIGTERM, are not concerned.
void install_failure_reports();

/// Writes such a line for a failure that the process survives. `what` may be any text.
void report_failure(std::string_view event, std::string_view what) noexcept;

} // namespace mjm
