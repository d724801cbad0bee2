#pragma once

#include "load_run.h"

#include <string>
#include <vector>

namespace mjm {

/// Value below which `part` of the samples lie; 0 without samples. Sorts the samples.
[[nodiscard]] double quantile(std::vector<double>& samples, double part);

[[nodiscard]] std::string text_report(const load_result& result, const std::vector<violation>& found);
[[nodiscard]] std::string json_report(const load_result& result, const std::vector<violation>& found);

} // namespace mjm
