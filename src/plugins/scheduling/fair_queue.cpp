#include "scheduling/fair_queue.h"

#include "scheduling/usage_history.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>

namespace mjm {

namespace {

// How far the usage history may shift a team's place, in entitlements. It decides between teams whose
// running usage differs by less than this; more would let a past peak keep a team out for minutes.
constexpr double history_gain = 0.5;
// Remote usage may halve or double a local entitlement. The bound keeps a team from being shut out here by
// stale gossip or by lent capacity that it uses elsewhere.
constexpr double min_remote_factor = 0.5;
constexpr double max_remote_factor = 2.0;
// Waiting requests of one team and urgency that a pick looks at beyond one that does not fit now.
constexpr std::size_t lookahead = 8;
constexpr double epsilon = 1e-9;

struct entry;
using entry_list = std::list<entry>;
using deadline_index = std::multimap<timestamp, entry_list::iterator>;

struct team_state;

struct entry {
    queued_task task;
    std::uint64_t sequence = 0;
    unsigned passed_over = 0;
    unsigned reservations = 0; // reservations granted so far; each doubles the bar for the next
    team_state* team = nullptr;
    entry_list* list = nullptr; // the list that holds the entry
    deadline_index::iterator deadline;
};

struct team_state {
    team_id id;
    double weight = 1.0;
    double remote = 0.0;
    resources used;
    std::size_t running = 0;
    usage_history history;
    std::array<entry_list, 2> waiting; // indexed by priority
    bool contending = false;
    double entitlement = 0.0; // set by update_entitlements

    [[nodiscard]] std::size_t waiting_count() const { return waiting[0].size() + waiting[1].size(); }
    [[nodiscard]] entry_list& urgent() { return waiting[static_cast<std::size_t>(priority::urgent)]; }
    [[nodiscard]] entry& head() { return urgent().empty() ? normal().front() : urgent().front(); }
    [[nodiscard]] entry_list& normal() { return waiting[static_cast<std::size_t>(priority::normal)]; }
};

/// Place of a team in the order of one pick; the least goes first.
struct rank {
    bool above_entitlement = false;
    bool no_urgent_claim = true;
    double score = 0.0;
    std::uint64_t oldest = 0;
    team_state* team = nullptr;

    friend bool operator<(const rank& a, const rank& b)
    {
        if (a.above_entitlement != b.above_entitlement)
            return b.above_entitlement;
        if (a.no_urgent_claim != b.no_urgent_claim)
            return b.no_urgent_claim;
        if (a.score != b.score)
            return a.score < b.score;
        return a.oldest < b.oldest;
    }
};

struct reservation {
    request_id id;
    timestamp until;
};

} // namespace

class fair_queue::impl {
public:
    explicit impl(const fair_queue_limits& limits) : limits_{limits} {}

    team_state& team(const team_id& id)
    {
        const auto [it, added] = teams_.try_emplace(id);
        if (added)
            it->second.id = id;
        return it->second;
    }

    void set_contending(team_state& t)
    {
        const bool contends = t.running > 0 || t.waiting_count() > 0;
        if (contends == t.contending)
            return;
        t.contending = contends;
        if (contends)
            contending_.push_back(&t);
        else
            contending_.erase(std::find(contending_.begin(), contending_.end(), &t));
        entitlements_valid_ = false;
    }

    void advance(timestamp now)
    {
        if (scale_.advance(now)) {
            for (auto& [id, t] : teams_)
                t.history.rebase(scale_);
        }
    }

    /// Moves a waiting request to the list of those whose deadline has passed.
    void move_to_expired(entry_list::iterator it)
    {
        team_state& t = *it->team;
        if (reserved_ && reserved_->id == it->task.id)
            reserved_.reset();
        expired_.splice(expired_.end(), *it->list, it);
        it->list = &expired_;
        set_contending(t);
    }

    void move_expired(timestamp now)
    {
        while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
            const entry_list::iterator it = deadlines_.begin()->second;
            deadlines_.erase(deadlines_.begin());
            it->deadline = deadlines_.end();
            move_to_expired(it);
        }
    }

    queued_task remove(entry_list::iterator it)
    {
        queued_task task = std::move(it->task);
        team_state& t = *it->team;
        if (it->deadline != deadlines_.end())
            deadlines_.erase(it->deadline);
        index_.erase(task.id);
        if (reserved_ && reserved_->id == task.id)
            reserved_.reset();
        it->list->erase(it);
        set_contending(t);
        return task;
    }

    /// Keeps the lower bound of the waiting sizes; it only rises again when the queue empties.
    void note_need(const resources& need)
    {
        if (index_.empty()) {
            smallest_need_ = need;
            return;
        }
        smallest_need_.milli_cpu = std::min(smallest_need_.milli_cpu, need.milli_cpu);
        smallest_need_.memory_mib = std::min(smallest_need_.memory_mib, need.memory_mib);
        smallest_need_.accelerators = std::min(smallest_need_.accelerators, need.accelerators);
        smallest_need_.slots = std::min(smallest_need_.slots, need.slots);
    }

    void update_entitlements()
    {
        if (entitlements_valid_)
            return;
        entitlements_valid_ = true;
        double weights = 0.0;
        double remote = 0.0;
        for (const team_state* it : contending_) {
            weights += it->weight;
            remote += it->remote;
        }
        double sum = 0.0;
        for (team_state* it : contending_) {
            const double part = it->weight / weights;
            // Compared among the teams that contend here: what the others use elsewhere is not owed here.
            const double excess = (it->remote - part * remote) / fleet_fraction_;
            it->entitlement = std::clamp(part - excess, part * min_remote_factor, part * max_remote_factor);
            sum += it->entitlement;
        }
        for (team_state* it : contending_)
            it->entitlement /= sum;
    }

    rank rank_of(team_state& t) const
    {
        const double usage = t.history.usage();
        double correction = 0.0;
        double highest = 0.0;
        for (std::size_t n = 0; n < share_horizons.size(); ++n) {
            const double average = t.history.average(n, scale_);
            correction += average / t.entitlement - 1.0;
            highest = std::max(highest, average);
        }
        correction /= static_cast<double>(share_horizons.size());

        rank r;
        r.team = &t;
        r.above_entitlement = usage > t.entitlement - epsilon;
        if (!t.urgent().empty()) {
            // With less than one task's worth of entitlement the next task always exceeds it; the history
            // then tells whether the team is within it on average.
            const double next = usage + t.urgent().front().task.need.dominant_fraction(capacity_);
            r.no_urgent_claim = next > t.entitlement + epsilon && highest > t.entitlement + epsilon;
            r.oldest = t.urgent().front().sequence;
        } else {
            r.oldest = t.normal().front().sequence;
        }
        r.score = usage / t.entitlement + history_gain * std::clamp(correction, -1.0, 1.0);
        return r;
    }

    std::optional<queued_task> pick(const pick_context& context, timestamp now);
    bool try_start(const queued_task& task, const pick_context& context, const queued_task* reserved);
    std::optional<entry_list::iterator> startable(team_state& t, const pick_context& context,
                                                  const queued_task* reserved);
    const queued_task* active_reservation(const pick_context& context, timestamp now);
    void count_passed_over(team_state& t, bool can_coexist, timestamp now);

    fair_queue_limits limits_;
    std::map<team_id, team_state> teams_;
    std::vector<team_state*> contending_;
    bool entitlements_valid_ = false;
    resources capacity_;
    double fleet_fraction_ = 1.0;
    history_scale scale_;
    std::uint64_t next_sequence_ = 0;
    std::unordered_map<request_id, entry_list::iterator> index_;
    deadline_index deadlines_;
    entry_list expired_;
    std::optional<reservation> reserved_;
    timestamp no_reservation_before_;
    resources smallest_need_;               // no waiting request needs less of any kind
    std::vector<rank> order_;               // reused between picks
    std::vector<team_state*> passed_teams_; // teams whose head was too large in this pick
    std::vector<resources> no_room_;        // sizes found too large in this pick
};

/// Whether the task can start now, with a cheap answer for sizes that were too large already.
bool fair_queue::impl::try_start(const queued_task& task, const pick_context& context,
                                 const queued_task* reserved)
{
    if (context.has_capacity) {
        const auto too_large = [&task](const resources& it) { return it.fits_in(task.need); };
        if (std::any_of(no_room_.begin(), no_room_.end(), too_large))
            return false;
        if (!context.has_capacity(task.need)) {
            no_room_.push_back(task.need);
            return false;
        }
    }
    if (reserved != nullptr && reserved->id != task.id &&
        (!context.fits_beside_reserved || !context.fits_beside_reserved(task, *reserved)))
        return false;
    return context.fits(task);
}

std::optional<entry_list::iterator> fair_queue::impl::startable(team_state& t, const pick_context& context,
                                                                const queued_task* reserved)
{
    if (reserved != nullptr) {
        const entry_list::iterator it = index_.at(reserved->id);
        if (it->team == &t && try_start(it->task, context, reserved))
            return it;
    }
    for (entry_list* list : {&t.urgent(), &t.normal()}) {
        std::size_t looked_at = 0;
        for (auto it = list->begin(); it != list->end() && looked_at < lookahead; ++it, ++looked_at) {
            if (try_start(it->task, context, reserved))
                return it;
            // While room is kept for one task, the others are held back by that and not by their size.
            if (&*it == &t.head() && reserved == nullptr)
                passed_teams_.push_back(&t);
        }
    }
    return std::nullopt;
}

const queued_task* fair_queue::impl::active_reservation(const pick_context& context, timestamp now)
{
    if (!reserved_)
        return nullptr;
    const entry& e = *index_.at(reserved_->id);
    const bool others_run = std::any_of(contending_.begin(), contending_.end(),
                                        [](const team_state* it) { return it->running > 0; });
    // With nothing running no room will come free, so holding back other work cannot help.
    if (now >= reserved_->until || !others_run || !context.may_start(e.team->id)) {
        no_reservation_before_ = now + limits_.max_full_hold;
        reserved_.reset();
        return nullptr;
    }
    return &e.task;
}

void fair_queue::impl::count_passed_over(team_state& t, bool can_coexist, timestamp now)
{
    constexpr unsigned max_doublings = 8;
    entry& head = t.head();
    ++head.passed_over;
    const unsigned bar = limits_.max_passed_over << std::min(head.reservations, max_doublings);
    if (head.passed_over < bar || reserved_ || now < no_reservation_before_)
        return;
    head.passed_over = 0;
    ++head.reservations;
    reserved_ = reservation{head.task.id, now + (can_coexist ? limits_.max_hold : limits_.max_full_hold)};
}

std::optional<queued_task> fair_queue::impl::pick(const pick_context& context, timestamp now)
{
    advance(now);
    move_expired(now);
    update_entitlements();
    order_.clear();
    passed_teams_.clear();
    no_room_.clear();
    const queued_task* reserved = active_reservation(context, now);
    // Most picks of a full shard end here, without a look at any team.
    if (index_.size() == expired_.size() || (context.has_capacity && !context.has_capacity(smallest_need_)))
        return std::nullopt;

    for (team_state* it : contending_) {
        if (it->waiting_count() > 0)
            order_.push_back(rank_of(*it));
    }
    // Usually one of the first teams can start, so a heap is cheaper than sorting all of them.
    const auto later = [](const rank& a, const rank& b) { return b < a; };
    std::make_heap(order_.begin(), order_.end(), later);
    while (!order_.empty()) {
        std::pop_heap(order_.begin(), order_.end(), later);
        const rank r = order_.back();
        order_.pop_back();
        if (!context.may_start(r.team->id))
            continue;
        const std::optional<entry_list::iterator> found = startable(*r.team, context, reserved);
        if (!found)
            continue;
        for (team_state* it : passed_teams_)
            count_passed_over(*it, static_cast<bool>(context.fits_beside_reserved), now);
        return remove(*found);
    }
    return std::nullopt;
}

fair_queue::fair_queue(const fair_queue_limits& limits) : impl_{std::make_unique<impl>(limits)} {}
fair_queue::~fair_queue() = default;

void fair_queue::set_share(const team_id& team, double weight)
{
    impl_->team(team).weight = std::max(weight, epsilon);
    impl_->entitlements_valid_ = false;
}

void fair_queue::set_capacity(const resources& total)
{
    impl_->capacity_ = total;
    for (auto& [id, t] : impl_->teams_)
        t.history.set_usage(t.used.dominant_fraction(total), impl_->scale_);
}

void fair_queue::set_remote_usage(const team_id& team, double dominant_fraction)
{
    impl_->team(team).remote = std::max(dominant_fraction, 0.0);
    impl_->entitlements_valid_ = false;
}

void fair_queue::set_fleet_fraction(double fraction)
{
    impl_->fleet_fraction_ = std::clamp(fraction, epsilon, 1.0);
    impl_->entitlements_valid_ = false;
}

tl::expected<void, reason> fair_queue::enqueue(const queued_task& task, timestamp now)
{
    if (impl_->index_.contains(task.id))
        return {};
    if (task.deadline <= now)
        return tl::unexpected(reason::deadline);
    team_state& t = impl_->team(task.team);
    if (size() >= impl_->limits_.max_queued || t.waiting_count() >= impl_->limits_.max_queued_per_team)
        return tl::unexpected(reason::queue_full);

    impl_->note_need(task.need);
    entry_list& list = t.waiting[static_cast<std::size_t>(task.urgency)];
    list.push_back(entry{.task = task,
                         .sequence = impl_->next_sequence_++,
                         .team = &t,
                         .list = &list,
                         .deadline = impl_->deadlines_.end()});
    const entry_list::iterator it = std::prev(list.end());
    it->deadline = impl_->deadlines_.emplace(task.deadline, it);
    impl_->index_.emplace(task.id, it);
    impl_->set_contending(t);
    return {};
}

bool fair_queue::cancel(const request_id& id)
{
    const auto it = impl_->index_.find(id);
    if (it == impl_->index_.end())
        return false;
    impl_->remove(it->second);
    return true;
}

std::vector<request_id> fair_queue::expire(timestamp now)
{
    impl_->move_expired(now);
    std::vector<request_id> ids;
    ids.reserve(impl_->expired_.size());
    while (!impl_->expired_.empty())
        ids.push_back(impl_->remove(impl_->expired_.begin()).id);
    return ids;
}

std::optional<queued_task> fair_queue::pick(const pick_context& context, timestamp now)
{
    return impl_->pick(context, now);
}

void fair_queue::task_started(const team_id& team, const resources& used, timestamp now)
{
    impl_->advance(now);
    team_state& t = impl_->team(team);
    t.used += used;
    ++t.running;
    t.history.set_usage(t.used.dominant_fraction(impl_->capacity_), impl_->scale_);
    impl_->set_contending(t);
}

void fair_queue::task_finished(const team_id& team, const resources& used, timestamp now)
{
    impl_->advance(now);
    team_state& t = impl_->team(team);
    t.used -= used;
    if (t.running > 0)
        --t.running;
    t.history.set_usage(t.used.dominant_fraction(impl_->capacity_), impl_->scale_);
    impl_->set_contending(t);
}

std::optional<queued_task> fair_queue::reserved() const
{
    if (!impl_->reserved_)
        return std::nullopt;
    return impl_->index_.at(impl_->reserved_->id)->task;
}

double fair_queue::entitlement(const team_id& team) const
{
    impl_->update_entitlements();
    const auto it = impl_->teams_.find(team);
    return it != impl_->teams_.end() && it->second.contending ? it->second.entitlement : 0.0;
}

std::size_t fair_queue::size() const
{
    return impl_->index_.size();
}

std::size_t fair_queue::size(const team_id& team) const
{
    const auto it = impl_->teams_.find(team);
    return it != impl_->teams_.end() ? it->second.waiting_count() : 0;
}

std::optional<timestamp> fair_queue::next_deadline() const
{
    if (!impl_->expired_.empty())
        return impl_->expired_.front().task.deadline;
    if (impl_->deadlines_.empty())
        return std::nullopt;
    return impl_->deadlines_.begin()->first;
}

std::vector<team_id> fair_queue::waiting_teams() const
{
    std::vector<team_id> teams;
    for (const team_state* it : impl_->contending_) {
        if (it->waiting_count() > 0)
            teams.push_back(it->id);
    }
    return teams;
}

std::vector<request_id> fair_queue::waiting_requests() const
{
    std::vector<request_id> ids;
    ids.reserve(impl_->index_.size());
    for (const auto& [id, it] : impl_->index_)
        ids.push_back(id);
    return ids;
}

} // namespace mjm
