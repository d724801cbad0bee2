#include "jobs/leader_events.h"

#include "jobs/job.h"

#include <cstdint>
#include <string>

namespace mjm {

namespace {

const std::vector<double> delay_bounds{0.02, 0.05, 0.1, 0.3, 1.0, 3.0, 10.0};
const std::vector<double> job_time_bounds{0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0};

/// The 64-bit FNV-1a hash, which is the same in every process and on every kind of machine.
std::uint64_t fnv1a(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    return hash;
}

double seconds(std::int64_t ms)
{
    return static_cast<double>(ms) / 1000.0;
}

} // namespace

bool job_log_sample::contains(const job_id& id) const
{
    // The upper half of the hash depends on all characters.
    return static_cast<int>((fnv1a(id.str()) >> 32) % 100) < percent_;
}

log_level job_log_sample::level_of(const job_id& id) const
{
    return contains(id) ? log_level::info : log_level::debug;
}

log_level job_log_sample::level_of(const scheduler_log_entry& n) const
{
    switch (n.event) {
    case scheduler_event::job_finished:
        return n.reason == name_of(job_state::failed) ? log_level::info : level_of(n.job);
    case scheduler_event::job_added:
    case scheduler_event::job_cancelled:
    case scheduler_event::run_planned:
    case scheduler_event::run_discarded:
    case scheduler_event::run_ended:
    case scheduler_event::run_stop_requested:
    case scheduler_event::unknown_run_stopped:
        return level_of(n.job);
    default:
        return log_level::info;
    }
}

leader_events::leader_events(logger log, metric_registry& metrics, int job_log_percent)
    : log_{std::move(log)}, metrics_{metrics}, sample_{job_log_percent},
      first_start_seconds_{metrics.histogram(
          "mjm_first_start_seconds",
          "Time from the acceptance of a job to the choice of a target for a task's first run.",
          delay_bounds)}
{
    for (const auto& [event, name] : enum_names<scheduler_event>::entries)
        event_counters_.emplace(event, metrics.counter("mjm_scheduler_events_total",
                                                       "The leader's decisions and observations.",
                                                       {{"event", std::string{name}}}));
}

void leader_events::on_event(const scheduler_log_entry& n)
{
    event_counters_.at(n.event).add();
    if (n.event == scheduler_event::job_finished)
        metrics_
            .histogram("mjm_job_seconds", "Time from the acceptance of a job to its end.", job_time_bounds,
                       {{"state", n.reason}})
            .observe(seconds(n.age_ms));
    if (n.event == scheduler_event::run_planned && n.run == 1)
        first_start_seconds_.observe(seconds(n.age_ms));
    const log_level level = sample_.level_of(n);
    if (log_.enabled(level))
        log_.write(level, n.event,
                   {{"job", n.job},
                    {"task", n.task ? to_string(*n.task) : std::string{}},
                    {"run", n.run},
                    {"target", n.target},
                    {"reason", n.reason},
                    {"age_ms", n.age_ms}});
}

void leader_events::on_stop_answer(const task_key& task, run_number run, const target_id& target,
                                   const tl::expected<order_answer, order_errc>& answer, bool changed)
{
    count("stop", answer);
    if (!changed)
        return;
    if (!answer)
        log_.warn("stop_refused", {{"task", to_string(task)},
                                   {"run", run},
                                   {"target", target},
                                   {"error", name_of(answer.error())}});
    else if (const log_level level = sample_.level_of(task.job); log_.enabled(level))
        log_.write(level, "stop_confirmed", {{"task", to_string(task)}, {"run", run}, {"target", target}});
}

void leader_events::on_pace(const pace_command& pace)
{
    const log_level level = sample_.level_of(pace.task.job);
    if (log_.enabled(level))
        log_.write(level, "pace_changed",
                   {{"task", to_string(pace.task)},
                    {"run", pace.run},
                    {"target", pace.target.id},
                    {"percent", pace.percent}});
}

void leader_events::count(std::string_view order, const tl::expected<order_answer, order_errc>& answer)
{
    const std::optional<order_errc> error = answer ? std::nullopt : std::optional{answer.error()};
    auto it = answer_counters_.find({order, error});
    if (it == answer_counters_.end()) {
        const metric_counter counter = metrics_.counter(
            "mjm_orders_total", "Orders to targets by outcome.",
            {{"order", std::string{order}}, {"outcome", error ? std::string{name_of(*error)} : "done"}});
        it = answer_counters_.emplace(std::pair{order, error}, counter).first;
    }
    it->second.add();
}

} // namespace mjm
