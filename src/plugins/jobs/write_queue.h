#pragma once

#include "jobs/job_types.h"

#include <cstdint>
#include <map>

namespace mjm {

/// Jobs with changes that the store does not have, in the order in which they are to be written. A job that
/// changes all the time gets no more than its turn.
class write_queue {
public:
    /// Adds a job at the end, unless it is queued.
    void add(const job_id& job)
    {
        if (numbers_.try_emplace(job, last_number_ + 1).second)
            jobs_.emplace(++last_number_, job);
    }
    void remove(const job_id& job)
    {
        const auto it = numbers_.find(job);
        if (it == numbers_.end())
            return;
        jobs_.erase(it->second);
        numbers_.erase(it);
    }
    [[nodiscard]] bool empty() const { return jobs_.empty(); }
    [[nodiscard]] bool contains(const job_id& job) const { return numbers_.contains(job); }
    /// The jobs, by numbers that rise from the first one to the last.
    [[nodiscard]] const std::map<std::uint64_t, job_id>& jobs() const { return jobs_; }

private:
    std::map<std::uint64_t, job_id> jobs_;
    std::map<job_id, std::uint64_t> numbers_;
    std::uint64_t last_number_ = 0;
};

} // namespace mjm
