#include "scheduler_fixture.h"

#include "core/random_source.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

constexpr duration step_time = 10ms;
constexpr std::array<std::int64_t, 5> cores{0, 8000, 16'000, 24'000, 32'000};

/// Targets that start whatever they are told, as those of a service without `rejects_overload` do. Their
/// capacity changes while they run. Answers and stops are lost, starts are carried out late, and stops take
/// time.
class unguarded_targets {
public:
    unguarded_targets(scheduler_fixture& f, random_source& random) : f_{f}, random_{random}
    {
        for (const char* name : {"a", "b", "c"}) {
            const target_id id{name};
            targets_[id].capacity = cores.back();
            f_.scheduler.set_target(f_.info_of(name), f_.now());
        }
    }

    void add_job(const std::string& name)
    {
        const std::int64_t need = 1000 * static_cast<std::int64_t>(1 + random_.below(12));
        needs_[f_.add_job(name, 1 + static_cast<std::uint32_t>(random_.below(4)), need)] = need;
    }

    /// Adds a run that an earlier leader has started. This leader does not know its job.
    void add_unknown_run(const std::string& name)
    {
        const task_key task{job_id{"gone-" + name}, {0, 0, 0}};
        targets_[target_id{name}].runs[{task, 1}] = {20'000, 0, 0};
    }

    void step()
    {
        for (auto& [id, t] : targets_) {
            if (capacities_change_ && random_.chance(0.02))
                set_capacity(id, cores.at(random_.below(cores.size())));
            advance(t);
        }
        for (const target_id& id : f_.scheduler.due_observations(f_.now().now))
            observe(id);
        f_.scheduler.plan(f_.now());
        if (random_.chance(0.5))
            f_.scheduler.on_stored(f_.scheduler.unstored(1000), f_.now());
        for (const start_command& s : f_.take_starts())
            start(s);
        for (const stop_command& s : f_.take_stops())
            stop(s);
        f_.advance(step_time);
    }

    /// Lets all work end with the capacity that the targets had at first.
    void finish()
    {
        capacities_change_ = false;
        for (const auto& [id, t] : targets_)
            set_capacity(id, cores.back());
        for (int i = 0; i < 3000; ++i)
            step();
    }
    [[nodiscard]] bool all_ended() const
    {
        return std::all_of(needs_.begin(), needs_.end(), [this](const auto& entry) {
            const job* j = f_.scheduler.find_job(entry.first);
            return j != nullptr && is_final(j->state());
        });
    }

    std::vector<std::string> violations;

private:
    struct live_run {
        std::int64_t need = 0;
        std::uint64_t starts_in = 0; ///< Steps until a late start is carried out; 0 if it was.
        std::uint64_t ends_in = 0;   ///< Steps until a stop has taken effect; 0 if there is none.
    };
    struct target {
        std::int64_t capacity = 0;
        std::map<std::pair<task_key, run_number>, live_run> runs;
        std::vector<listed_end> ended;
        std::uint64_t last_end = 0;
    };

    void set_capacity(const target_id& id, std::int64_t milli_cpu)
    {
        target_info info = f_.info_of(id.str());
        info.capacity.milli_cpu = milli_cpu;
        targets_.at(id).capacity = milli_cpu;
        f_.scheduler.set_target(info, f_.now());
    }

    static void end(target& t, const std::pair<task_key, run_number>& run, run_end how)
    {
        listed_end e;
        e.sequence = ++t.last_end;
        e.task = run.first;
        e.run = run.second;
        e.how = how;
        t.ended.push_back(e);
        t.runs.erase(run);
    }

    void advance(target& t)
    {
        const std::map<std::pair<task_key, run_number>, live_run> present = t.runs;
        for (const auto& [key, r] : present) {
            if (r.starts_in > 0)
                --t.runs.at(key).starts_in;
            else if (r.ends_in == 1)
                end(t, key, run_end::stopped);
            else if (r.ends_in > 1)
                --t.runs.at(key).ends_in;
            else if (random_.chance(0.02))
                end(t, key, run_end::done);
        }
    }

    void observe(const target_id& id)
    {
        if (random_.chance(0.1)) {
            f_.miss(id);
            return;
        }
        target& t = targets_.at(id);
        std::vector<listed_run> listed;
        for (const auto& [key, r] : t.runs) {
            if (r.starts_in > 0)
                continue;
            listed.emplace_back();
            listed.back().task = key.first;
            listed.back().run = key.second;
        }
        f_.report(id, listed, t.ended);
        const std::uint64_t acknowledged = f_.scheduler.targets().at(id).ends_acknowledged;
        std::erase_if(t.ended, [acknowledged](const listed_end& e) { return e.sequence <= acknowledged; });
    }

    void start(const start_command& s)
    {
        target& t = targets_.at(s.target.id);
        live_run r;
        r.need = needs_.at(s.order.task.job);
        std::int64_t used = r.need;
        for (const auto& [key, other] : t.runs)
            used += other.need;
        if (used > t.capacity)
            violations.push_back(to_string(s.order.task) + " on " + s.target.id.str() + ": " +
                                 std::to_string(used) + " of " + std::to_string(t.capacity));
        const bool late = random_.chance(0.1);
        if (late)
            r.starts_in = 1 + random_.below(40);
        t.runs[{s.order.task, s.order.run}] = r;
        if (late || random_.chance(0.1))
            f_.scheduler.on_start_answer(s.target.id, s.order.task, s.order.run,
                                         tl::unexpected{order_errc::no_answer}, f_.now());
        else
            f_.confirm(s);
    }

    void stop(const stop_command& s)
    {
        if (random_.chance(0.2)) { // The stop is lost.
            f_.scheduler.on_stop_answer(s.target.id, s.task, s.run, tl::unexpected{order_errc::no_answer},
                                        f_.now());
            return;
        }
        target& t = targets_.at(s.target.id);
        const auto it = t.runs.find({s.task, s.run});
        if (it != t.runs.end() && it->second.starts_in > 0)
            t.runs.erase(it); // The target refuses the late start.
        else if (it != t.runs.end() && it->second.ends_in == 0)
            it->second.ends_in = 1 + random_.below(30);
        tl::expected<order_answer, order_errc> answer = order_answer{5000};
        if (random_.chance(0.2))
            answer = tl::unexpected{order_errc::no_answer};
        f_.scheduler.on_stop_answer(s.target.id, s.task, s.run, answer, f_.now());
    }

    scheduler_fixture& f_;
    random_source& random_;
    std::map<target_id, target> targets_;
    std::map<job_id, std::int64_t> needs_;
    bool capacities_change_ = true;
};

} // namespace

// Guards against starts beyond the capacity that a target shows (rule LIMIT). What is being stopped, and what
// a start in flight may still begin, counts. Also guards against capacity that is never freed.
TEST_CASE("no start exceeds a target's capacity while capacities change and answers are lost")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        seeded_random random{seed};
        scheduler_fixture f;
        unguarded_targets targets{f, random};
        targets.add_unknown_run("b");
        for (int i = 0; i < 1000; ++i) {
            if (random.chance(0.1))
                targets.add_job("j" + std::to_string(i));
            if (random.chance(0.03))
                f.scheduler.cancel_job(job_id{"j" + std::to_string(random.below(1000))}, f.now());
            targets.step();
        }
        targets.finish();
        for (const std::string& violation : targets.violations)
            UNSCOPED_INFO(violation);
        CHECK(targets.violations.empty());
        CHECK(targets.all_ended());
        for (const auto& [id, t] : f.scheduler.targets()) {
            CHECK(t.used == resources{});
            CHECK(t.unknown_runs.empty());
        }
    }
}
