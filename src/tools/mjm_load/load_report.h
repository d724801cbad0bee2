#pragma once

#include "load_run.h"

#include <string>
#include <vector>

namespace mjm {

/// Value below which `part` of the samples lie; 0 without samples. Sorts the samples.
[[nodiscard]] double quantile(std::vector<double>& samples, double part);

[[nodiscard]] std::string text_report(const load_result& result, const std::vector<violation>& found);
/// One JSON object for each request and line, for the search of a single request's history.
[[nodiscard]] std::string request_lines(const load_result& result);
[[nodiscard]] std::string json_report(const load_result& result, const std::vector<violation>& found);

} // namespace mjm
