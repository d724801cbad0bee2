#include "scheduler_fixture.h"

namespace mjm {

namespace {

std::shared_ptr<const fleet_config> make_config()
{
    std::shared_ptr<fleet_config> config = std::make_shared<fleet_config>();
    queue_config q;
    q.id = queue_id{"fit-curve"};
    q.service = service_id{"fit"};
    q.max_attempts = 2;
    q.stretch = 1.6;
    q.objective_allowance = std::chrono::milliseconds{600};
    config->queues.push_back(q);
    team_config team;
    team.id = team_id{"lab"};
    team.cap.milli_cpu = 100'000;
    config->teams.emplace(team.id, team);
    return config;
}

scheduler_settings make_settings()
{
    scheduler_settings settings;
    settings.learn_run_times = true;
    return settings;
}

} // namespace

scheduler_fixture::scheduler_fixture()
    : scheduler{make_settings(), token, {now_, unix_ms_}, [this](const scheduler_log_entry& n) {
                    log_entries.push_back(n);
                }}
{
    scheduler.set_config(make_config());
    scheduler.set_view_times({now_, now_, now_});
    scheduler.set_leader_lease(now_ + leader_lease);
}

target_info scheduler_fixture::info_of(const std::string& name, const std::string& service) const
{
    target_info info;
    info.id = target_id{name};
    info.service = service_id{service};
    info.endpoint = {"10.0.0.1", 80};
    info.capacity = {32'000, 131'072, 0, 0};
    info.incarnation = 1;
    info.host = "host-" + name;
    return info;
}

target_id scheduler_fixture::add_target(const std::string& name, const std::string& service)
{
    scheduler.set_target(info_of(name, service), now());
    report(target_id{name}, {});
    return target_id{name};
}

job_record scheduler_fixture::record_of(const std::string& name, std::uint32_t tasks,
                                        std::int64_t milli_cpu) const
{
    job_record record;
    record.id = job_id{name};
    record.queue = queue_id{"fit-curve"};
    record.service = service_id{"fit"};
    record.team = team_id{"lab"};
    record.accepted_ms = unix_ms_;
    step_spec step;
    step.tasks = tasks;
    step.need = {milli_cpu, 1024, 0, 0};
    step.estimate = std::chrono::seconds{1};
    record.spec.steps.push_back(step);
    return record;
}

job_id scheduler_fixture::add_job(const std::string& name, std::uint32_t tasks, std::int64_t milli_cpu,
                                  const std::function<void(step_spec&)>& modify)
{
    job_record record = record_of(name, tasks, milli_cpu);
    if (modify)
        modify(record.spec.steps.front());
    scheduler.add_job(std::move(record), now());
    return job_id{name};
}

std::vector<start_command> scheduler_fixture::run_job(const std::string& name, std::uint32_t tasks,
                                                      std::int64_t milli_cpu,
                                                      const std::function<void(step_spec&)>& modify)
{
    add_job(name, tasks, milli_cpu, modify);
    std::vector<start_command> out = plan_and_store();
    for (const start_command& s : out)
        confirm(s);
    return out;
}

void scheduler_fixture::advance(duration d)
{
    now_ += d;
    unix_ms_ += to_ms(d);
    scheduler.set_view_times({now_, now_, now_});
    scheduler.set_leader_lease(now_ + leader_lease);
    scheduler.tick(now());
    sort_commands(now());
}

void scheduler_fixture::sort_commands(scheduler_time time)
{
    for (const target_command& c : scheduler.take_commands(time)) {
        if (const start_command* start = std::get_if<start_command>(&c))
            starts_.push_back(*start);
        else if (const stop_command* stop = std::get_if<stop_command>(&c))
            stops_.push_back(*stop);
        else if (const pace_command* pace = std::get_if<pace_command>(&c))
            paces_.push_back(*pace);
    }
}

std::vector<start_command> scheduler_fixture::plan_and_store()
{
    scheduler.plan(now());
    scheduler.on_stored(scheduler.unstored(1000), now());
    return take_starts();
}

std::vector<start_command> scheduler_fixture::take_starts(scheduler_time time)
{
    sort_commands(time);
    return std::exchange(starts_, {});
}

std::vector<stop_command> scheduler_fixture::take_stops()
{
    sort_commands(now());
    return std::exchange(stops_, {});
}

std::vector<pace_command> scheduler_fixture::take_paces()
{
    sort_commands(now());
    return std::exchange(paces_, {});
}

void scheduler_fixture::confirm(const start_command& start)
{
    scheduler.on_start_answer(start.target.id, start.order.task, start.order.run, order_answer{clock_ms()},
                              now());
}

void scheduler_fixture::report(const target_id& target, const std::vector<listed_run>& running_now,
                               const std::vector<listed_end>& ended_now, target_incarnation incarnation)
{
    observe(target, {0, incarnation, running_now, ended_now, true, true, std::nullopt});
}

void scheduler_fixture::report_part(const target_id& target, const std::vector<listed_run>& running_now,
                                    const std::vector<listed_end>& ended_now, target_incarnation incarnation)
{
    observe(target, {0, incarnation, running_now, ended_now, false, false, std::nullopt});
}

void scheduler_fixture::report_unreadable_end(const target_id& target, std::uint64_t position,
                                              const std::vector<listed_end>& readable)
{
    observe(target, {0, 1, {}, readable, false, true, position});
}

void scheduler_fixture::observe(const target_id& target, target_report report)
{
    const timestamp sent_at = now_;
    static_cast<void>(scheduler.begin_observation(target, now_));
    now_ += std::chrono::milliseconds{1};
    report.clock_ms = clock_ms();
    scheduler.on_report(target, report, sent_at, now());
}

void scheduler_fixture::miss(const target_id& target)
{
    const timestamp sent_at = now_;
    static_cast<void>(scheduler.begin_observation(target, now_));
    scheduler.on_report(target, tl::unexpected{order_errc::no_answer}, sent_at, now());
}

listed_run running(const start_command& start)
{
    listed_run r;
    r.task = start.order.task;
    r.run = start.order.run;
    return r;
}

listed_end ended(const start_command& start, std::uint64_t sequence, run_end how)
{
    listed_end e;
    e.sequence = sequence;
    e.task = start.order.task;
    e.run = start.order.run;
    e.how = how;
    return e;
}

} // namespace mjm
