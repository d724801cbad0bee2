#include "jobs/job_codec.h"
#include "jobs/job_scheduler.h"

namespace mjm {

bool job_scheduler::restore_job(job_record record, std::string_view progress, scheduler_time time)
{
    std::unique_ptr<job> j = std::make_unique<job>(std::move(record));
    const bool readable = restore_progress(*j, progress);
    const job_id id = j->id();
    const std::string state{name_of(j->state())};
    insert_job(std::move(j));
    open_job& open = jobs_.at(id);
    log_event(scheduler_event::job_added, id, nullptr, 0, {}, "restored as " + state,
              time.unix_ms - open.state->record().accepted_ms);
    if (is_final(open.state->state()))
        after_change(open, time);
    return readable;
}

void job_scheduler::restore_finished(const job_id& id, job_state state)
{
    if (jobs_.contains(id))
        return;
    job_record record;
    record.id = id;
    open_job& open = jobs_[id];
    open.state = std::make_unique<job>(std::move(record));
    open.state->restore_final(state);
}

} // namespace mjm
