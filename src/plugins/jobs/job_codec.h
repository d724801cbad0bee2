#pragma once

#include "jobs/job.h"

#include <optional>
#include <string>
#include <string_view>

namespace mjm {

/// Returns the stored form of an accepted job.
[[nodiscard]] std::string encode_job(const job_record& record);
/// Returns std::nullopt if the text is not a stored job.
[[nodiscard]] std::optional<job_record> decode_job(const job_id& id, std::string_view text);

/// Returns an owner as one line of ASCII text.
[[nodiscard]] std::string encode_owner(const job_owner& owner);
/// Returns std::nullopt if the text is not an owner.
[[nodiscard]] std::optional<job_owner> decode_owner(std::string_view text);

/// Returns the stored form of a job's progress: its state, and each task that has ever been started. Of a job
/// in a final state, only the runs that are not over are stored.
[[nodiscard]] std::string encode_progress(const job& j);
/// Restores the progress of a job that has none yet. The restored runs are `unconfirmed`. Returns false if
/// the text is not stored progress of this job.
[[nodiscard]] bool restore_progress(job& j, std::string_view text);
/// Returns the job's state from stored progress, or std::nullopt if the text is not stored progress.
[[nodiscard]] std::optional<job_state> decode_progress_state(std::string_view text);
/// Returns the final state of a job of which nothing runs any more, or std::nullopt if the job goes on, still
/// has runs to be stopped, or the text is not stored progress.
[[nodiscard]] std::optional<job_state> decode_settled_state(std::string_view text);

} // namespace mjm
