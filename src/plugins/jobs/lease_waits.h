#pragma once

#include "core/time_types.h"
#include "jobs/job_types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mjm {

/// For each silent target with runs, the time after which its lease is over at the latest. Times to wait are
/// stored instead of points in time, since the clocks of two hosts may differ or be set: a next leader counts
/// them from the start of its own term.
using lease_waits = std::map<target_id, duration>;

/// Returns the waits as stored in the store, in whole milliseconds, rounded up.
[[nodiscard]] std::string encode_lease_waits(const lease_waits& waits);
/// Returns no value if the text can't be read.
[[nodiscard]] std::optional<lease_waits> decode_lease_waits(std::string_view text);

} // namespace mjm
