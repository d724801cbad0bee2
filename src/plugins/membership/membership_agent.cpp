#include "membership/membership_agent.h"

#include "membership/member_records.h"
#include "membership/own_record.h"
#include "membership/shard_assignment.h"

#include <algorithm>
#include <utility>

namespace mjm {

namespace {

// Documents of other zones are needed for routing only and are read every second round.
constexpr std::uint64_t foreign_zone_rounds = 2;
// A gap between answers longer than this part of the lease counts as an outage: other members' leases may
// have lapsed for the same reason.
constexpr int outage_lease_divisor = 2;

} // namespace

class membership_agent::impl : public std::enable_shared_from_this<membership_agent::impl> {
public:
    impl(const member& self, kv_store& store, random_source& random, const membership_settings& settings)
        : store_{store}, random_{random}, settings_{settings}, record_{std::make_shared<own_record>(
                                                                   self, store, random, settings)}
    {
    }

    void connect();
    void set_shards(const std::set<shard_id>& shards);
    void set_config_version(std::uint64_t version) { record_->set_config_version(version); }
    void tick(timestamp now);
    void leave(timestamp now);
    [[nodiscard]] bool has_left() const { return record_->removed() || (leaving_ && superseded()); }
    [[nodiscard]] std::vector<member> members() const;
    [[nodiscard]] std::optional<shard_owner_record> owner_of(const shard_id& shard) const;
    [[nodiscard]] const std::map<shard_id, shard_epoch>& owned() const { return owned_; }
    void on_gain(std::function<void(const shard_id&, shard_epoch)> callback)
    {
        on_gain_ = std::move(callback);
    }
    void on_loss(std::function<void(const shard_id&)> callback) { on_loss_ = std::move(callback); }
    void confirm_epoch(const shard_id& shard, shard_epoch epoch, std::function<void(bool)> done);
    [[nodiscard]] std::optional<timestamp> last_store_answer() const { return contact_; }
    [[nodiscard]] bool superseded() const { return record_->superseded(); }
    [[nodiscard]] std::uint64_t incarnation() const { return record_->value().incarnation; }

private:
    struct zone_view {
        ownership_document document;
        store_revision revision = 0;
        bool known = false; ///< Read at least once, or confirmed absent.
    };
    enum class shard_state {
        owned,        ///< The owner's record is there, or may be newer than the roster.
        unowned,      ///< No owner, or its process was replaced by a newer incarnation.
        owner_absent, ///< The owner's record was not in the roster.
    };

    [[nodiscard]] const member& self() const { return record_->value(); }
    [[nodiscard]] bool is_self(const shard_owner_record& owner) const;
    void note_contact(timestamp begun);
    void start_round();
    void finish_roster(const tl::expected<std::vector<kv_entry>, store_errc>& result, timestamp begun);
    void read_zone(const zone_id& zone, std::function<void(bool)> then);
    void apply(const zone_id& zone, const ownership_document& document, store_revision revision);
    void update_owned();
    void drop_all();

    [[nodiscard]] shard_state state_of(const shard_id& shard) const;
    [[nodiscard]] std::vector<host_id> successors() const;
    [[nodiscard]] std::map<shard_id, host_id> present_owners() const;
    void assign(ownership_document& next, const shard_id& shard, const host_id& to) const;
    void plan();
    void plan_departure();
    void plan_claims(const std::set<shard_id>& open);
    void confirm_absence(std::set<host_id> owners, const ownership_document& next);
    void write(const ownership_document& next);

    kv_store& store_;
    random_source& random_;
    membership_settings settings_;
    std::shared_ptr<own_record> record_;
    std::function<void(const shard_id&, shard_epoch)> on_gain_;
    std::function<void(const shard_id&)> on_loss_;

    timestamp now_;
    timestamp next_round_;
    timestamp takeover_not_before_;
    timestamp changed_at_; ///< Last change of the own zone's document as seen here.
    std::optional<timestamp> contact_;
    std::uint64_t rounds_ = 0;
    bool round_in_flight_ = false;
    bool leaving_ = false;
    bool shards_known_ = false;
    std::set<shard_id> shards_;
    std::map<host_id, member> roster_;
    std::map<zone_id, zone_view> zones_;
    std::map<shard_id, shard_epoch> owned_;
    /// Epochs under which shards were dropped here when they left the configuration; never used again.
    std::map<shard_id, shard_epoch> dropped_;
};

void membership_agent::impl::connect()
{
    record_->on_contact([weak = weak_from_this()](timestamp begun) {
        if (const std::shared_ptr<impl> it = weak.lock())
            it->note_contact(begun);
    });
    record_->on_lapse([weak = weak_from_this()] {
        if (const std::shared_ptr<impl> it = weak.lock())
            it->takeover_not_before_ = it->now_ + it->settings_.settle_time;
    });
}

void membership_agent::impl::note_contact(timestamp begun)
{
    if (!contact_ || now_ - *contact_ > settings_.lease_ttl / outage_lease_divisor)
        takeover_not_before_ = now_ + settings_.settle_time;
    contact_ = contact_ ? std::max(*contact_, begun) : begun;
}

bool membership_agent::impl::is_self(const shard_owner_record& owner) const
{
    return owner.owner == self().endpoint.id && self().incarnation != 0 &&
           owner.incarnation == self().incarnation;
}

void membership_agent::impl::set_shards(const std::set<shard_id>& shards)
{
    shards_ = shards;
    shards_known_ = true;
    for (const auto& [shard, epoch] : owned_) {
        if (!shards_.contains(shard))
            dropped_[shard] = epoch;
    }
    update_owned();
}

void membership_agent::impl::leave(timestamp now)
{
    now_ = now;
    leaving_ = true;
    record_->set_leaving();
    next_round_ = std::min(next_round_, now);
}

void membership_agent::impl::tick(timestamp now)
{
    now_ = now;
    record_->tick(now);
    if (record_->superseded()) {
        drop_all();
        return;
    }
    // A host that has left goes on reading: its front still needs to know the owners of shards.
    if (round_in_flight_ || now < next_round_)
        return;
    start_round();
}

void membership_agent::impl::start_round()
{
    const duration half = settings_.poll_interval / 2;
    next_round_ =
        now_ + settings_.poll_interval - half / 2 +
        duration{static_cast<duration::rep>(random_.below(static_cast<std::uint64_t>(half.count())))};
    round_in_flight_ = true;
    if (rounds_++ % foreign_zone_rounds == 0) {
        std::set<zone_id> foreign;
        for (const shard_id& shard : shards_)
            foreign.insert(shard.zone);
        foreign.erase(self().zone);
        for (const zone_id& zone : foreign)
            read_zone(zone, nullptr);
    }
    store_.list("members/", [weak = weak_from_this(),
                             begun = now_](const tl::expected<std::vector<kv_entry>, store_errc>& result) {
        if (const std::shared_ptr<impl> it = weak.lock())
            it->finish_roster(result, begun);
    });
}

void membership_agent::impl::finish_roster(const tl::expected<std::vector<kv_entry>, store_errc>& result,
                                           timestamp begun)
{
    if (!result) {
        round_in_flight_ = false;
        return;
    }
    note_contact(begun);
    roster_.clear();
    for (const kv_entry& entry : *result) {
        if (const std::optional<member> found = member_from_json(entry.value))
            roster_[found->endpoint.id] = *found;
    }
    if (const auto it = roster_.find(self().endpoint.id); it != roster_.end())
        record_->note_incarnation(it->second.incarnation);
    else
        record_->note_absent(begun);
    // The ownership document is read after the roster, so that an owner seen in it that registered before
    // its claim is in the roster as well.
    read_zone(self().zone, [this](bool read) {
        if (!read || superseded() || !record_->registered() || !shards_known_) {
            round_in_flight_ = false;
            return;
        }
        plan();
    });
}

void membership_agent::impl::read_zone(const zone_id& zone, std::function<void(bool)> then)
{
    store_.get(ownership_key(zone), zones_[zone].revision,
               [weak = weak_from_this(), zone, begun = now_,
                then = std::move(then)](const tl::expected<kv_read, store_errc>& result) {
                   const std::shared_ptr<impl> it = weak.lock();
                   if (!it)
                       return;
                   const bool absent = !result && result.error() == store_errc::not_found;
                   bool read = result || absent;
                   if (read)
                       it->note_contact(begun);
                   if (absent) {
                       it->zones_[zone].known = true;
                   } else if (result && !result->unchanged) {
                       const std::optional<ownership_document> document =
                           ownership_from_json(result->entry.value);
                       read = document.has_value();
                       if (document)
                           it->apply(zone, *document, result->entry.revision);
                   }
                   if (then)
                       then(read);
               });
}

void membership_agent::impl::apply(const zone_id& zone, const ownership_document& document,
                                   store_revision revision)
{
    zone_view& view = zones_[zone];
    if (revision < view.revision)
        return;
    if (zone == self().zone && revision != view.revision)
        changed_at_ = now_;
    view = {document, revision, true};
    if (zone != self().zone)
        return;
    for (const auto& [shard, owner] : document) {
        if (owner.owner == self().endpoint.id)
            record_->note_incarnation(owner.incarnation);
    }
    update_owned();
}

void membership_agent::impl::update_owned()
{
    std::map<shard_id, shard_epoch> now_owned;
    if (!superseded()) {
        for (const auto& [shard, owner] : zones_[self().zone].document) {
            const auto it = dropped_.find(shard);
            if (is_self(owner) && shards_.contains(shard) &&
                (it == dropped_.end() || it->second < owner.epoch))
                now_owned[shard] = owner.epoch;
        }
    }
    std::swap(owned_, now_owned);
    const std::map<shard_id, shard_epoch> before = std::move(now_owned);
    const std::map<shard_id, shard_epoch> after = owned_;
    for (const auto& [shard, epoch] : before) {
        const auto it = after.find(shard);
        if ((it == after.end() || it->second != epoch) && on_loss_)
            on_loss_(shard);
    }
    for (const auto& [shard, epoch] : after) {
        const auto it = before.find(shard);
        if ((it == before.end() || it->second != epoch) && on_gain_)
            on_gain_(shard, epoch);
    }
}

void membership_agent::impl::drop_all()
{
    if (!owned_.empty())
        update_owned();
}

membership_agent::impl::shard_state membership_agent::impl::state_of(const shard_id& shard) const
{
    const ownership_document& document = zones_.at(self().zone).document;
    const auto it = document.find(shard);
    if (it == document.end() || it->second.owner.empty())
        return shard_state::unowned;
    const shard_owner_record& owner = it->second;
    if (is_self(owner)) {
        const auto dropped = dropped_.find(shard);
        return dropped != dropped_.end() && dropped->second >= owner.epoch ? shard_state::unowned
                                                                           : shard_state::owned;
    }
    if (owner.owner == self().endpoint.id)
        return shard_state::unowned; // An older incarnation of this process.
    const auto found = roster_.find(owner.owner);
    if (found == roster_.end())
        return shard_state::owner_absent;
    return found->second.incarnation > owner.incarnation ? shard_state::unowned : shard_state::owned;
}

std::vector<host_id> membership_agent::impl::successors() const
{
    std::vector<host_id> out;
    for (const auto& [host, it] : roster_) {
        if (it.zone == self().zone && it.state == member_state::live && host != self().endpoint.id)
            out.push_back(host);
    }
    if (!leaving_)
        out.push_back(self().endpoint.id);
    std::sort(out.begin(), out.end());
    return out;
}

std::map<shard_id, host_id> membership_agent::impl::present_owners() const
{
    std::map<shard_id, host_id> out;
    const ownership_document& document = zones_.at(self().zone).document;
    for (const shard_id& shard : shards_) {
        if (shard.zone == self().zone && state_of(shard) == shard_state::owned)
            out[shard] = document.at(shard).owner;
    }
    return out;
}

void membership_agent::impl::assign(ownership_document& next, const shard_id& shard, const host_id& to) const
{
    shard_owner_record& owner = next[shard];
    ++owner.epoch;
    owner.owner = to;
    owner.incarnation = to == self().endpoint.id ? self().incarnation : roster_.at(to).incarnation;
}

void membership_agent::impl::plan()
{
    if (leaving_) {
        plan_departure();
        return;
    }
    const ownership_document& document = zones_[self().zone].document;
    std::set<shard_id> open;
    for (const shard_id& shard : shards_) {
        if (shard.zone != self().zone)
            continue;
        const shard_state state = state_of(shard);
        if (state == shard_state::unowned ||
            (state == shard_state::owner_absent && now_ >= takeover_not_before_))
            open.insert(shard);
    }
    if (!open.empty()) {
        plan_claims(open);
        return;
    }

    ownership_document next = document;
    for (auto& [shard, owner] : next) {
        if (is_self(owner) && !shards_.contains(shard)) {
            owner.owner = host_id{};
            owner.incarnation = 0;
        }
    }
    if (next != document) {
        write(next);
        return;
    }
    if (now_ - changed_at_ >= settings_.rebalance_interval) {
        const std::optional<shard_move> move = next_move(present_owners(), successors());
        if (move && move->from == self().endpoint.id) {
            assign(next, move->shard, move->to);
            write(next);
            return;
        }
    }
    round_in_flight_ = false;
}

void membership_agent::impl::plan_departure()
{
    const ownership_document& document = zones_[self().zone].document;
    std::set<shard_id> own;
    std::map<host_id, std::size_t> load;
    std::size_t count = 0;
    for (const auto& [shard, owner] : document) {
        if (is_self(owner))
            own.insert(shard);
        else
            ++load[owner.owner];
        count += owner.owner.empty() ? 0 : 1;
    }
    if (own.empty()) {
        record_->remove();
        round_in_flight_ = false;
        return;
    }
    ownership_document next = document;
    const std::map<shard_id, host_id> heirs = assign_unowned(own, successors(), load, count);
    for (const shard_id& shard : own) {
        const auto it = heirs.find(shard);
        if (it != heirs.end() && shards_.contains(shard)) {
            assign(next, shard, it->second);
        } else {
            next[shard].owner = host_id{};
            next[shard].incarnation = 0;
        }
    }
    write(next);
}

void membership_agent::impl::plan_claims(const std::set<shard_id>& open)
{
    std::map<host_id, std::size_t> load;
    for (const auto& [shard, owner] : present_owners())
        ++load[owner];
    const auto own_zone = std::count_if(shards_.begin(), shards_.end(),
                                        [this](const shard_id& it) { return it.zone == self().zone; });
    const ownership_document& document = zones_[self().zone].document;
    ownership_document next = document;
    std::set<host_id> absent_owners;
    for (const auto& [shard, host] :
         assign_unowned(open, successors(), load, static_cast<std::size_t>(own_zone))) {
        if (host != self().endpoint.id)
            continue;
        if (state_of(shard) == shard_state::owner_absent)
            absent_owners.insert(document.at(shard).owner);
        assign(next, shard, host);
    }
    if (next == document) {
        round_in_flight_ = false;
        return;
    }
    confirm_absence(std::move(absent_owners), next);
}

void membership_agent::impl::confirm_absence(std::set<host_id> owners, const ownership_document& next)
{
    if (owners.empty()) {
        write(next);
        return;
    }
    const host_id owner = *owners.begin();
    owners.erase(owners.begin());
    store_.get(member_key(owner), 0,
               [weak = weak_from_this(), begun = now_, owners = std::move(owners),
                next](const tl::expected<kv_read, store_errc>& result) {
                   const std::shared_ptr<impl> it = weak.lock();
                   if (!it)
                       return;
                   if (result || result.error() != store_errc::not_found) {
                       it->round_in_flight_ = false;
                       return;
                   }
                   it->note_contact(begun);
                   it->confirm_absence(owners, next);
               });
}

void membership_agent::impl::write(const ownership_document& next)
{
    const zone_id zone = self().zone;
    store_.put(kv_write{.key = ownership_key(zone),
                        .value = ownership_to_json(next),
                        .expected = zones_[zone].revision},
               [weak = weak_from_this(), begun = now_, zone,
                next](const tl::expected<store_revision, store_errc>& result) {
                   const std::shared_ptr<impl> it = weak.lock();
                   if (!it)
                       return;
                   it->round_in_flight_ = false;
                   // A conflict or a lost answer is resolved by the read of the next round.
                   it->next_round_ = std::min(it->next_round_, it->now_ + it->settings_.poll_interval / 4);
                   if (!result)
                       return;
                   it->note_contact(begun);
                   it->apply(zone, next, *result);
               });
}

void membership_agent::impl::confirm_epoch(const shard_id& shard, shard_epoch epoch,
                                           std::function<void(bool)> done)
{
    read_zone(self().zone, [this, shard, epoch, done = std::move(done)](bool read) {
        const auto it = owned_.find(shard);
        done(read && !superseded() && it != owned_.end() && it->second == epoch);
    });
}

std::vector<member> membership_agent::impl::members() const
{
    std::vector<member> out;
    for (const auto& [host, it] : roster_)
        out.push_back(it);
    return out;
}

std::optional<shard_owner_record> membership_agent::impl::owner_of(const shard_id& shard) const
{
    const auto zone = zones_.find(shard.zone);
    if (zone == zones_.end())
        return std::nullopt;
    const auto it = zone->second.document.find(shard);
    if (it == zone->second.document.end() || it->second.owner.empty())
        return std::nullopt;
    return it->second;
}

membership_agent::membership_agent(const member& self, kv_store& store, random_source& random,
                                   const membership_settings& settings)
    : impl_{std::make_shared<impl>(self, store, random, settings)}
{
    impl_->connect();
}

membership_agent::~membership_agent() = default;

void membership_agent::set_shards(const std::set<shard_id>& shards)
{
    impl_->set_shards(shards);
}

void membership_agent::set_config_version(std::uint64_t version)
{
    impl_->set_config_version(version);
}

void membership_agent::tick(timestamp now)
{
    impl_->tick(now);
}

void membership_agent::leave(timestamp now)
{
    impl_->leave(now);
}

bool membership_agent::has_left() const
{
    return impl_->has_left();
}

std::vector<member> membership_agent::members() const
{
    return impl_->members();
}

std::optional<shard_owner_record> membership_agent::owner_of(const shard_id& shard) const
{
    return impl_->owner_of(shard);
}

std::map<shard_id, shard_epoch> membership_agent::owned() const
{
    return impl_->owned();
}

void membership_agent::on_gain(std::function<void(const shard_id&, shard_epoch)> callback)
{
    impl_->on_gain(std::move(callback));
}

void membership_agent::on_loss(std::function<void(const shard_id&)> callback)
{
    impl_->on_loss(std::move(callback));
}

void membership_agent::confirm_epoch(const shard_id& shard, shard_epoch epoch,
                                     std::function<void(bool confirmed)> done)
{
    impl_->confirm_epoch(shard, epoch, std::move(done));
}

bool membership_agent::superseded() const
{
    return impl_->superseded();
}

std::uint64_t membership_agent::incarnation() const
{
    return impl_->incarnation();
}

std::optional<timestamp> membership_agent::last_store_answer() const
{
    return impl_->last_store_answer();
}

} // namespace mjm
