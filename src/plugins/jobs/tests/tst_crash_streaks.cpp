#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

/// A fleet whose targets crash and return as the next ones on their hosts.
class crashing_fleet : public scheduler_fixture {
public:
    explicit crashing_fleet(int hosts)
    {
        for (int n = 0; n < hosts; ++n)
            add_life(n);
    }

    /// Plans and confirms starts, and notes which runs are on which target.
    void start_all()
    {
        for (const start_command& s : plan_and_store()) {
            confirm(s);
            running_.push_back(s);
            ++starts[s.order.task.job];
        }
    }

    /// Lets time pass, with a report of every target each 0.5 s.
    void work_for(duration d)
    {
        for (duration passed{0}; passed < d; passed += 500ms) {
            advance(500ms);
            start_all();
            for (const auto& [host, target] : lives_) {
                std::vector<listed_run> runs;
                for (const start_command& s : running_) {
                    if (s.target.id == target)
                        runs.push_back(mjm::running(s));
                }
                report(target, runs, {}, incarnations_[host]);
            }
        }
    }

    /// Lets the target crash that runs the job's first task. Returns false if the task has no run.
    bool crash_under(const job_id& job)
    {
        const auto it = std::find_if(running_.begin(), running_.end(),
                                     [&](const start_command& s) { return s.order.task.job == job; });
        if (it == running_.end())
            return false;
        crash(it->target.id);
        return true;
    }

    void crash(const target_id target)
    {
        static_cast<void>(scheduler.begin_observation(target, now().now));
        scheduler.on_report(target, tl::unexpected{order_errc::other_instance}, now().now, now());
        std::erase_if(running_, [&](const start_command& s) { return s.target.id == target; });
        const auto life = std::find_if(lives_.begin(), lives_.end(),
                                       [&](const auto& entry) { return entry.second == target; });
        add_life(life->first);
    }

    void crash_host(int host) { crash(lives_.at(host)); }

    [[nodiscard]] job_state state_of(const job_id& job) const { return scheduler.find_job(job)->state(); }
    [[nodiscard]] const task& task_of(const job_id& job) const { return scheduler.find_job(job)->at({}); }

    std::map<job_id, int> starts;

private:
    void add_life(int host)
    {
        const std::string name = "t" + std::to_string(host) + "-" + std::to_string(++incarnations_[host]);
        target_info info = info_of(name);
        info.host = "host-" + std::to_string(host);
        info.incarnation = incarnations_[host];
        scheduler.set_target(info, now());
        report(info.id, {}, {}, info.incarnation);
        lives_[host] = info.id;
    }

    std::map<int, target_id> lives_;
    std::map<int, target_incarnation> incarnations_;
    std::vector<start_command> running_;
};

void make_permanent(step_spec& step)
{
    step.permanent = true;
}

} // namespace

TEST_CASE("a task that crashes its target at any time after its start is given up by its fifth run")
{
    // Guards against a task that passes its probation and is started again on target after target.
    const duration age = GENERATE(duration{1s}, duration{4s}, duration{30s});
    const bool permanent = GENERATE(false, true);
    crashing_fleet f{8};
    const job_id bad = f.add_job(
        "bad", 1, 2000, permanent ? make_permanent : [](step_spec&) {});
    const job_id sound = f.add_job("sound", 3, 2000, make_permanent);
    for (int crashes = 0; crashes < 12 && !is_final(f.state_of(bad)); ++crashes) {
        for (int n = 0; n < 60 && !f.task_of(bad).run; ++n)
            f.work_for(500ms);
        f.work_for(age);
        static_cast<void>(f.crash_under(bad));
        f.work_for(3s);
    }
    CHECK(f.state_of(bad) == job_state::failed);
    CHECK(f.starts[bad] <= 5);
    CHECK_FALSE(is_final(f.state_of(sound)));
}

TEST_CASE("a task beside one that crashes its targets is not given up with it")
{
    // Guards against a verdict on all tasks that happened to be on the same targets.
    crashing_fleet f{1};
    const job_id bad = f.add_job("bad", 1);
    const job_id beside = f.add_job("beside", 1, 2000, make_permanent);
    for (int crashes = 0; crashes < 3; ++crashes) {
        f.work_for(1s);
        REQUIRE(f.crash_under(bad));
    }
    CHECK(f.task_of(beside).streak.crashes == 3);
    f.scheduler.set_target(f.info_of("other"), f.now());
    f.report(target_id{"other"}, {});
    // From now on the two are not on one target at the same time.
    for (int n = 0; n < 60 && !is_final(f.state_of(bad)); ++n) {
        f.work_for(500ms);
        const task& a = f.task_of(bad);
        const task& b = f.task_of(beside);
        CHECK_FALSE((a.run && b.run && a.run->target == b.run->target));
        if (a.run && a.run->listed_at - a.run->ordered_at > 1s && a.run->target != target_id{"other"})
            f.crash_under(bad);
    }
    CHECK_FALSE(is_final(f.state_of(beside)));
}

TEST_CASE("a permanent task on targets that crash again and again is not given up")
{
    // Guards against a verdict on a sound task that has seen many crashes, as any has in a long time.
    crashing_fleet f{6};
    const job_id sound = f.add_job("sound", 1, 2000, make_permanent);
    f.add_job("others", 60, 2000, make_permanent);
    for (int round = 0; round < 30; ++round) {
        f.work_for(5s);
        if (f.task_of(sound).run && round % 3 == 0)
            f.crash_under(sound);
        else
            f.crash_host(round % 6);
    }
    CHECK_FALSE(is_final(f.state_of(sound)));
}

TEST_CASE("a run that outlives the earlier ones or ends by itself ends a series of crashes")
{
    crashing_fleet f{4};
    const job_id j = f.add_job("j", 1);
    for (int crashes = 0; crashes < 2; ++crashes) {
        f.work_for(2s);
        REQUIRE(f.crash_under(j));
    }
    CHECK(f.task_of(j).streak.crashes == 2);
    f.work_for(3s);
    CHECK(f.task_of(j).streak.crashes == 2);
    f.work_for(6s);
    CHECK(f.task_of(j).streak.empty());
}

TEST_CASE("a series of crashes survives a change of leader")
{
    // Guards against a count that begins anew with each leader.
    crashing_fleet f{6};
    const job_id bad = f.add_job("bad", 1);
    for (int crashes = 0; crashes < 3; ++crashes) {
        f.work_for(2s);
        REQUIRE(f.crash_under(bad));
    }
    const std::vector<progress_write> stored = f.scheduler.unstored(10);
    REQUIRE(stored.size() == 1);

    crashing_fleet next{6};
    REQUIRE(next.scheduler.restore_job(next.record_of("bad", 1), stored[0].text, next.now()));
    CHECK(next.task_of(bad).streak == f.task_of(bad).streak);
    for (int crashes = 0; crashes < 2 && !is_final(next.state_of(bad)); ++crashes) {
        next.work_for(2s);
        REQUIRE(next.crash_under(bad));
    }
    CHECK(next.state_of(bad) == job_state::failed);
    CHECK(next.starts[bad] <= 2);
}

TEST_CASE("the crashes to be expected by chance grow with the crashes of other targets")
{
    const crash_streak_settings settings;
    crash_rate calm{settings, timestamp{}};
    calm.advance(timestamp{100s}, 10);
    CHECK(calm.expected(10s, 0) < 0.01);
    crash_rate rough{settings, timestamp{}};
    rough.advance(timestamp{100s}, 10);
    for (int n = 0; n < 50; ++n)
        rough.note_crash();
    CHECK(rough.expected(10s, 3) > 0.4);
    CHECK(rough.expected(10s, 3) < 0.5);
}
