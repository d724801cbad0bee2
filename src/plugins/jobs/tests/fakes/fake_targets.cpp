#include "fake_targets.h"

#include "fake_transaction_store.h"
#include "jobs/job_keys.h"

#include <algorithm>
#include <type_traits>

namespace mjm {

namespace {

constexpr std::chrono::milliseconds latency{2};
constexpr std::chrono::milliseconds maintenance_time{2000};
constexpr std::chrono::milliseconds move_time{1500};
// The platform's `hold-max-ms`; targets shorten a longer lease.
constexpr std::chrono::milliseconds longest_lease{6000};
// The platform's lease time, within which two leaders must not order the same host.
constexpr std::chrono::milliseconds order_lease{3000};
constexpr std::chrono::milliseconds time_until_crash{10};
// A task must not be started three times more after three targets have crashed under it.
constexpr int crashes_limit = 3;
constexpr int later_starts_limit = 3;
// The platform's `cancel_ms`, `stop-ms` and `contact-ms`.
constexpr std::chrono::milliseconds cancel_time{3000};
constexpr std::chrono::milliseconds longest_stop{200};
constexpr std::chrono::milliseconds contact_time{3000};
// The platform's `drain-ms`.
constexpr std::chrono::milliseconds drain_time{2000};
constexpr std::chrono::milliseconds evacuation_time{2000};
constexpr std::chrono::milliseconds time_until_next_target{2000};
// The platform's `heartbeat-ms`.
constexpr std::chrono::milliseconds heartbeat_interval{1500};
// Largest number of failed runs of a task; the queue of the simulation allows as many.
constexpr int max_attempts = 3;

} // namespace

std::int64_t fake_fleet::clock_ms() const
{
    return to_ms(loop_.time().now().time_since_epoch());
}

void fake_fleet::extend_lease(target& t, std::int64_t deadline_ms) const
{
    const duration left =
        std::min<duration>(std::chrono::milliseconds{deadline_ms - clock_ms()}, longest_lease);
    t.lease_until = std::max(t.lease_until, loop_.time().now() + left);
}

fake_fleet::target* fake_fleet::find(const std::string& host)
{
    const auto it = hosts_.find(host);
    return it == hosts_.end() ? nullptr : &it->second;
}

fake_fleet::target* fake_fleet::answering(const http_endpoint& at)
{
    for (auto& [host, t] : hosts_) {
        if (t.info.endpoint == at && t.up && !t.cut)
            return &t;
    }
    return nullptr;
}

void fake_fleet::start_incarnation(target& t, restart_kind kind)
{
    t.entry_incarnation = t.info.incarnation;
    t.entry_changes = kind == restart_kind::same_id ? loop_.time().now() + entry_delay : timestamp{};
    t.info.incarnation = ++last_incarnation_;
    if (kind != restart_kind::same_id)
        t.info.id = target_id{t.info.host + "-" + std::to_string(last_incarnation_)};
    if (kind == restart_kind::new_address)
        t.info.endpoint = {"10.0.0.1", ++last_port_};
    t.info.state = target_state::ready;
    t.info.capacity = t.capacity;
    t.draining_since = {};
    t.up = true;
    t.token = 0;
    t.running.clear();
    t.ended.clear();
    t.closed.clear();
    t.last_end = 0;
    t.stale_ends = 0;
}

void fake_fleet::add_host(const std::string& host, const service_id& service)
{
    target& t = hosts_[host];
    t.info.host = host;
    t.info.service = service;
    t.capacity = {8'000, 32'768, 0, 0};
    start_incarnation(t, restart_kind::new_address);
}

void fake_fleet::crash(const std::string& host)
{
    target* t = find(host);
    if (t->up && entry_lifetime > duration{0})
        stale_entries_.push_back({t->info, loop_.time().now() + entry_lifetime});
    for (const auto& [task, r] : t->running)
        ++crashes_under[task];
    t->up = false;
    t->running.clear();
}

void fake_fleet::restart(const std::string& host, restart_kind kind)
{
    start_incarnation(*find(host), kind);
}

void fake_fleet::crash_for(const std::string& host, restart_kind kind, duration delay)
{
    target* t = find(host);
    if (!t->up)
        return;
    crash(host);
    loop_.after(delay, [this, host, kind, incarnation = t->info.incarnation] {
        if (find(host)->info.incarnation == incarnation)
            restart(host, kind);
    });
}

void fake_fleet::drain(const std::string& host, duration time, restart_kind kind)
{
    target* t = find(host);
    if (!t->up || t->info.state == target_state::draining)
        return;
    t->info.state = target_state::draining;
    t->draining_since = loop_.time().now();
    loop_.after(time, [this, host, kind, incarnation = t->info.incarnation] {
        target* leaving = find(host);
        if (!leaving->up || leaving->info.incarnation != incarnation)
            return;
        leaving->up = false;
        leaving->running.clear();
        loop_.after(time_until_next_target, [this, host, kind, incarnation] {
            if (find(host)->info.incarnation == incarnation)
                restart(host, kind);
        });
    });
}

void fake_fleet::set_capacity(const std::string& host, const resources& capacity, duration told_after)
{
    target* t = find(host);
    t->former_capacities.emplace_back(loop_.time().now(), t->capacity);
    t->capacity = capacity;
    loop_.after(told_after, [this, host] { find(host)->info.capacity = find(host)->capacity; });
}

void fake_fleet::end(target& t, const task_key& task, run_end how)
{
    const auto it = t.running.find(task);
    if (it == t.running.end())
        return;
    if (how == run_end::failed)
        ++failed_runs[task];
    listed_end e;
    e.sequence = ++t.last_end;
    e.task = task;
    e.run = it->second.number;
    e.how = how;
    t.closed[task] = it->second.number;
    t.ended.push_back(e);
    t.running.erase(it);
}

void fake_fleet::begin(target& t, const start_order& order, bool in_time)
{
    ++starts;
    last_starts[order.task] = std::max(last_starts[order.task], order.run);
    if (done_tasks.contains(order.task))
        violations.push_back("started after its end: " + to_string(order.task));
    if (shown_completed.contains(order.task.job))
        violations.push_back("started after its job was shown as completed: " + to_string(order.task));
    const timestamp now = loop_.time().now();
    const auto cancellation = cancelled.find(order.task.job);
    if (in_time && cancellation != cancelled.end() && now - cancellation->second > cancel_time)
        violations.push_back("started after its job was cancelled: " + to_string(order.task));
    if (in_time && t.draining_since != timestamp{} && now - t.draining_since > drain_time)
        violations.push_back("started on a draining target: " + to_string(order.task));
    const auto evacuation = evacuated.find(t.info.zone);
    if (in_time && evacuation != evacuated.end() && now - evacuation->second > evacuation_time)
        violations.push_back("started in an evacuated zone: " + to_string(order.task));
    const auto fails = acknowledged_fails.find(order.task);
    if (fails != acknowledged_fails.end() && fails->second >= max_attempts &&
        !limitless_attempts.contains(order.task.job))
        violations.push_back("started after its last attempt: " + to_string(order.task));
    for (const auto& [host, other] : hosts_) {
        if (other.up && other.running.contains(order.task) && &other != &t)
            violations.push_back("two runs at a time: " + to_string(order.task));
    }
    if (check_capacity)
        check_capacity_of(t, order, in_time);
    run r;
    r.number = order.run;
    const std::optional<duration> length = run_time(order.task);
    r.permanent = !length;
    r.ends = now + length.value_or(duration{0});
    // The leader learns of a start that was carried out late from a report.
    r.cancellable_from = in_time ? now : now + contact_time;
    t.running[order.task] = r;
    if (deadly && deadly(order.task))
        begin_deadly(t, order.task, in_time);
}

resources fake_fleet::use_with_one_more(const target& t) const
{
    resources use = task_need;
    for (std::size_t i = 0; i < t.running.size(); ++i)
        use += task_need;
    return use;
}

void fake_fleet::check_capacity_of(const target& t, const start_order& order, bool in_time)
{
    // A capacity that has shrunk counts from the time by which senders in touch know of it.
    const timestamp known = loop_.time().now() - contact_time - heartbeat_interval;
    const resources use = use_with_one_more(t);
    const bool fits =
        use.fits_in(t.capacity) ||
        std::any_of(t.former_capacities.begin(), t.former_capacities.end(), [&](const auto& it) {
            return use.fits_in(it.second) && (!in_time || it.first >= known);
        });
    if (!fits)
        violations.push_back("started over the capacity of " + t.info.host + ": " + to_string(order.task));
}

void fake_fleet::check_cancelled_runs(target& t)
{
    const timestamp now = loop_.time().now();
    if (t.cut)
        t.last_cut = now;
    for (auto& [task, r] : t.running) {
        const auto cancellation = cancelled.find(task.job);
        if (cancellation == cancelled.end() || r.cancelled_too_late)
            continue;
        const timestamp from = std::max({cancellation->second, r.cancellable_from,
                                         last_leader_fault + contact_time, t.last_cut + contact_time});
        if (now - from <= cancel_time + longest_stop)
            continue;
        r.cancelled_too_late = true;
        violations.push_back("runs on after its job was cancelled: " + to_string(task));
    }
}

void fake_fleet::begin_deadly(const target& t, const task_key& task, bool in_time)
{
    deadly_history& history = deadly_tasks[task];
    ++history.starts;
    if (history.crashes >= crashes_limit && in_time && ++history.starts_after_limit == later_starts_limit)
        violations.push_back("started three times after three crashes: " + to_string(task));
    loop_.after(time_until_crash, [this, host = t.info.host, task, incarnation = t.info.incarnation] {
        const target* crashing = find(host);
        if (!crashing->up || crashing->info.incarnation != incarnation || !crashing->running.contains(task))
            return;
        ++deadly_tasks[task].crashes;
        crash_for(host, restart_after_crash, restart_delay);
    });
}

template <typename Callback, typename Effect>
void fake_fleet::deliver(const target_ref& to, Callback done, Effect effect,
                         const std::function<void(target&)>& on_late)
{
    target* receiver = answering(to.endpoint);
    if (receiver == nullptr) {
        loop_.after(call_timeout, [done] { done(tl::unexpected{order_errc::no_answer}); });
        return;
    }
    using result = std::invoke_result_t<Effect, target&, bool>;
    // An order on its way ends with the process that would have received it.
    const auto arrive = [this, to, effect, incarnation = receiver->info.incarnation](bool late) -> result {
        target* t = answering(to.endpoint);
        if (t == nullptr || t->info.incarnation != incarnation)
            return tl::unexpected{order_errc::no_answer};
        if (t->info.id != to.id)
            return tl::unexpected{order_errc::other_instance};
        return effect(*t, late);
    };
    const bool late = random_.chance(late_orders);
    const bool lost = random_.chance(lost_answers);
    if (late || lost) {
        if (late && on_late)
            on_late(*receiver);
        const duration delay =
            late ? duration{std::chrono::milliseconds{2000 + random_.below(10'000)}} : duration{latency};
        loop_.after(delay, [arrive, late] { static_cast<void>(arrive(late)); });
        loop_.after(call_timeout, [done] { done(tl::unexpected{order_errc::no_answer}); });
        return;
    }
    loop_.after(latency, [done, arrive] { done(arrive(false)); });
}

void fake_fleet::start(const target_ref& to, const start_order& order, bool sender_in_touch,
                       const target_orders::order_callback& done)
{
    deliver(to, done,
            [this, order, sender_in_touch](target& t, bool late) -> tl::expected<order_answer, order_errc> {
                if (order.token < t.token)
                    return tl::unexpected{order_errc::fenced};
                t.token = order.token;
                if (order.deadline_ms <= clock_ms())
                    return tl::unexpected{order_errc::too_late};
                extend_lease(t, order.deadline_ms);
                const auto closed = t.closed.find(order.task);
                if (closed != t.closed.end() && order.run <= closed->second)
                    return tl::unexpected{order_errc::superseded};
                if (t.running.contains(order.task))
                    return order_answer{clock_ms()};
                if (check_capacity && t.guards_capacity && !use_with_one_more(t).fits_in(t.capacity))
                    return tl::unexpected{order_errc::no_capacity};
                begin(t, order, sender_in_touch && !late);
                return order_answer{clock_ms()};
            });
}

void fake_fleet::stop(const target_ref& to, const task_key& task, run_number number, fencing_token token,
                      const target_orders::order_callback& done)
{
    deliver(
        to, done,
        [this, task, number, token](target& t, bool /*late*/) -> tl::expected<order_answer, order_errc> {
            if (token < t.token)
                return tl::unexpected{order_errc::fenced};
            t.token = token;
            const auto it = t.running.find(task);
            if (it != t.running.end() && it->second.number <= number) {
                if (stop_time == duration{0})
                    end(t, task, run_end::stopped);
                else if (it->second.stopped_at == timestamp{})
                    it->second.stopped_at = loop_.time().now() + stop_time;
            }
            t.closed[task] = std::max(t.closed[task], number);
            return order_answer{clock_ms()};
        },
        [this, task](target& t) {
            if (t.running.contains(task))
                t.running[task].cancellable_from = loop_.time().now();
        });
}

void fake_fleet::observe(const target_ref& to, const lease_request& request,
                         const target_orders::report_callback& done)
{
    deliver(to, done, [this, request](target& t, bool /*late*/) -> tl::expected<target_report, order_errc> {
        if (request.token < t.token)
            return tl::unexpected{order_errc::fenced};
        t.token = request.token;
        if (request.deadline_ms > clock_ms())
            extend_lease(t, request.deadline_ms);
        std::erase_if(t.ended, [&](const listed_end& e) {
            if (e.sequence > request.ends_acknowledged)
                return false;
            if (e.how == run_end::done && e.sequence > t.stale_ends) {
                done_tasks.insert(e.task);
                if (last_starts[e.task] > e.run)
                    violations.push_back("started again after an end that was acknowledged later: " +
                                         to_string(e.task));
            }
            if (e.how == run_end::failed && e.sequence > t.stale_ends)
                ++acknowledged_fails[e.task];
            return true;
        });
        target_report report;
        report.clock_ms = clock_ms();
        report.incarnation = t.info.incarnation;
        report.ended = t.ended;
        report.complete = t.ended.size() < most_ends_listed;
        report.tells_of_all_runs = report.complete;
        report.ends_until_cut_off = report.complete ? most_ends_listed - t.ended.size() : 0;
        if (!report.complete)
            report.ended.resize(most_ends_listed);
        for (const auto& [task, r] : t.running) {
            listed_run row;
            row.task = task;
            row.run = r.number;
            report.running.push_back(row);
        }
        return report;
    });
}

void fake_fleet::check_host_order(const std::string& host, fencing_token token)
{
    const timestamp now = loop_.time().now();
    const auto last = host_orders_.find(host);
    if (last != host_orders_.end() && last->second.token != token && now - last->second.at < order_lease)
        violations.push_back("two leaders order within one lease time for host " + host);
    host_orders_[host] = {token, now};
}

void fake_fleet::move(const std::string& host, const service_id& pool, fencing_token token)
{
    check_host_order(host, token);
    target* t = find(host);
    if (t == nullptr || !t->up || t->info.service == pool)
        return;
    ++moves;
    crash(host);
    loop_.after(move_time, [this, host, pool] {
        find(host)->info.service = pool;
        restart(host);
    });
}

void fake_fleet::maintain(const std::string& host, fencing_token token)
{
    check_host_order(host, token);
    target* t = find(host);
    if (t == nullptr || !t->up || maintained[host] > 0)
        return; // confirmed without effect if it was carried out before
    ++maintained[host];
    crash(host);
    loop_.after(maintenance_time, [this, host] { restart(host); });
}

void fake_fleet::step()
{
    const timestamp now = loop_.time().now();
    for (auto& [host, t] : hosts_) {
        check_cancelled_runs(t);
        const std::map<task_key, run> present = t.running;
        for (const auto& [task, r] : present) {
            if (now >= t.lease_until) {
                end(t, task, run_end::lease_expired);
                t.stale_ends = t.last_end;
            } else if (r.stopped_at != timestamp{} && now >= r.stopped_at)
                end(t, task, run_end::stopped);
            else if (!r.permanent && now >= r.ends)
                end(t, task, outcome ? outcome(task) : run_end::done);
        }
    }
}

std::vector<target_info> fake_fleet::listed() const
{
    std::vector<target_info> out;
    for (const auto& [host, t] : hosts_) {
        if (!t.up)
            continue;
        out.push_back(t.info);
        if (loop_.time().now() < t.entry_changes)
            out.back().incarnation = t.entry_incarnation;
    }
    for (const stale_entry& entry : stale_entries_) {
        const bool replaced = std::any_of(out.begin(), out.end(),
                                          [&entry](const target_info& t) { return t.id == entry.info.id; });
        if (loop_.time().now() < entry.until && !replaced)
            out.push_back(entry.info);
    }
    return out;
}

std::vector<host_info> fake_fleet::hosts() const
{
    std::vector<host_info> out;
    for (const auto& [host, t] : hosts_)
        out.push_back({host, t.info.service, t.up ? host_state::up : host_state::maintained, t.info.capacity,
                       t.info.id, t.info.zone});
    return out;
}

std::size_t fake_fleet::running(const job_id& id) const
{
    std::size_t n = 0;
    for (const auto& [host, t] : hosts_) {
        for (const auto& [task, r] : t.running)
            n += task.job == id ? 1 : 0;
    }
    return n;
}

std::vector<task_key> fake_fleet::running_on(const std::string& host) const
{
    std::vector<task_key> out;
    for (const auto& [task, r] : hosts_.at(host).running)
        out.push_back(task);
    return out;
}

std::string fake_fleet::host_at(const http_endpoint& address) const
{
    for (const auto& [host, t] : hosts_) {
        if (t.info.endpoint == address)
            return host;
    }
    return {};
}

std::string fake_fleet::host_of(const task_key& task) const
{
    for (const auto& [host, t] : hosts_) {
        if (t.running.contains(task))
            return host;
    }
    return {};
}

void fake_host_operations::report_wave(const maintenance_wave& wave, bool completed,
                                       const std::string& record, fencing_token /*token*/, done_callback done)
{
    loop_.after(std::chrono::milliseconds{5}, [this, name = wave.name, completed, record, done] {
        reported[name] = completed;
        if (store != nullptr)
            store->put(std::string{job_keys::waves} + name, record);
        done({});
    });
}

} // namespace mjm
