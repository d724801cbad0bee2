#include "jobs/leadership.h"

#include <algorithm>

namespace mjm {

class leadership::impl : public std::enable_shared_from_this<leadership::impl> {
public:
    impl(transaction_store& store, const clock& time, random_source& random, leadership_settings settings,
         handler on_event)
        : store_{store}, time_{time}, random_{random}, settings_{std::move(settings)}, on_event_{std::move(
                                                                                           on_event)}
    {
    }

    void start_watch()
    {
        prefix_watch::handler h;
        h.on_snapshot = [this](const std::vector<kv_entry>& entries) {
            const auto it = std::find_if(entries.begin(), entries.end(),
                                         [this](const kv_entry& e) { return e.key == settings_.key; });
            if (it == entries.end())
                on_key_removed();
            else
                on_key(*it);
        };
        h.on_change = [this](const store_change& change) {
            if (change.entry.key != settings_.key)
                return;
            if (change.removed)
                on_key_removed();
            else
                on_key(change.entry);
        };
        watch_ = std::make_unique<prefix_watch>(store_, time_,
                                                prefix_watch_settings{settings_.key, watch_wait}, h);
    }

    void tick()
    {
        if (ended_)
            return;
        watch_->tick();
        const timestamp now = time_.now();
        if (leading_) {
            if (reported_valid_ && now >= valid_until_) {
                reported_valid_ = false;
                on_event_(leadership_event::lease_unconfirmed, "the lease was not renewed in time");
            }
            if (now >= next_renewal_)
                renew();
        } else if (leader_missing_ && !busy_ && !resigned_ && now >= not_before_) {
            acquire();
        }
    }

    void resign()
    {
        resigned_ = true;
        if (!leading_)
            return;
        store_.end_lease(lease_, [](const tl::expected<void, store_errc>&) {});
        lose("resigned");
    }

    void step_down(const std::string& why)
    {
        if (!leading_)
            return;
        store_.end_lease(lease_, [](const tl::expected<void, store_errc>&) {});
        lose(why);
        not_before_ = time_.now() + settings_.retry;
    }

    void recover(const std::string& why)
    {
        step_down(why);
        pause();
    }

    void end()
    {
        ended_ = true;
        watch_.reset();
    }

    [[nodiscard]] bool leading() const { return leading_; }
    [[nodiscard]] timestamp lease_until() const { return leading_ ? valid_until_ : timestamp{}; }
    [[nodiscard]] fencing_token token() const { return token_; }
    [[nodiscard]] const std::string& leader() const { return leader_; }

private:
    // The watch shows the removal of the key. A watch that does not end in time shows a dead connection.
    static constexpr std::chrono::milliseconds watch_wait{1500};

    void on_key(const kv_entry& entry)
    {
        leader_missing_ = false;
        if (leader_ != entry.value) {
            leader_ = entry.value;
            on_event_(leadership_event::leader_changed, leader_);
        }
        if (leading_ && entry.revision > token_)
            lose("another host leads");
    }

    void on_key_removed()
    {
        if (leading_) {
            // The removal may concern the previous leader's key and precede this host's term.
            check_key();
            return;
        }
        leader_.clear();
        if (!leader_missing_) {
            on_event_(leadership_event::leader_missing, {});
            leader_missing_ = true;
            not_before_ = time_.now() + settings_.handicap +
                          duration{static_cast<std::int64_t>(
                              random_.below(static_cast<std::uint64_t>(settings_.max_jitter.count()) + 1))};
        }
    }

    void check_key()
    {
        store_.get(settings_.key,
                   [self = shared_from_this(), token = token_](const tl::expected<kv_entry, store_errc>& e) {
                       if (self->ended_ || !self->leading_ || self->token_ != token)
                           return;
                       if (!e && e.error() == store_errc::not_found) {
                           self->lose("the lease has expired");
                           self->leader_missing_ = true;
                       } else if (e) {
                           self->on_key(*e);
                       }
                   });
    }

    void acquire()
    {
        busy_ = true;
        const timestamp requested_at = time_.now();
        store_.grant_lease(settings_.ttl, [self = shared_from_this(), requested_at](
                                              const tl::expected<store_lease_id, store_errc>& lease) {
            if (self->ended_)
                return;
            if (!lease) {
                self->on_event_(leadership_event::not_elected, std::string{name_of(lease.error())});
                self->pause();
                return;
            }
            self->write_key(*lease, requested_at);
        });
    }

    void write_key(store_lease_id lease, timestamp requested_at)
    {
        store_transaction t;
        t.expected.emplace_back(settings_.key, 0);
        t.writes.push_back({settings_.key, settings_.self, std::nullopt, lease});
        store_.commit(std::move(t), [self = shared_from_this(), lease, requested_at](
                                        const tl::expected<store_revision, transaction_error>& result) {
            if (self->ended_)
                return;
            if (result) {
                self->gain(lease, *result, requested_at);
            } else {
                self->on_event_(leadership_event::not_elected, std::string{name_of(result.error().code)});
                // A write without an answer may have taken effect. The key then remains until the lease ends.
                self->store_.end_lease(lease, [](const tl::expected<void, store_errc>&) {});
                if (result.error().code == store_errc::conflict)
                    self->leader_missing_ = false;
                self->watch_->reload();
                self->pause();
            }
        });
    }

    void pause()
    {
        busy_ = false;
        not_before_ = time_.now() + settings_.retry;
    }

    void gain(store_lease_id lease, store_revision revision, timestamp requested_at)
    {
        busy_ = false;
        leader_missing_ = false;
        lease_ = lease;
        token_ = revision;
        valid_until_ = requested_at + settings_.ttl - settings_.margin;
        next_renewal_ = requested_at + settings_.renew_interval;
        leading_ = true;
        reported_valid_ = true;
        leader_ = settings_.self;
        if (resigned_) {
            resign();
            return;
        }
        on_event_(leadership_event::gained, "token " + std::to_string(token_));
    }

    /// Does not wait for earlier renewals, since an answer that comes late confirms less of the lease.
    void renew()
    {
        const timestamp requested_at = time_.now();
        next_renewal_ = requested_at + settings_.renew_interval;
        store_.renew_lease(lease_, [self = shared_from_this(), requested_at,
                                    token = token_](const tl::expected<void, store_errc>& result) {
            if (self->ended_ || !self->leading_ || self->token_ != token)
                return;
            if (result) {
                self->valid_until_ =
                    std::max(self->valid_until_, requested_at + self->settings_.ttl - self->settings_.margin);
                if (!self->reported_valid_ && self->time_.now() < self->valid_until_) {
                    self->reported_valid_ = true;
                    self->on_event_(leadership_event::lease_confirmed, {});
                }
            } else if (result.error() == store_errc::not_found) {
                self->lose("the lease has expired");
                self->watch_->reload();
            }
        });
    }

    void lose(const std::string& why)
    {
        leading_ = false;
        reported_valid_ = false;
        if (leader_ == settings_.self)
            leader_.clear();
        on_event_(leadership_event::lost, why);
    }

    transaction_store& store_;
    const clock& time_;
    random_source& random_;
    const leadership_settings settings_;
    const handler on_event_;
    std::unique_ptr<prefix_watch> watch_;
    std::string leader_;
    store_lease_id lease_ = 0;
    fencing_token token_ = 0;
    timestamp valid_until_;
    timestamp next_renewal_;
    timestamp not_before_;
    bool leader_missing_ = false;
    bool busy_ = false;
    bool leading_ = false;
    bool reported_valid_ = false;
    bool resigned_ = false;
    bool ended_ = false;
};

leadership::leadership(transaction_store& store, const clock& time, random_source& random,
                       leadership_settings settings, handler on_event)
    : impl_{std::make_shared<impl>(store, time, random, std::move(settings), std::move(on_event))}
{
    impl_->start_watch();
}

leadership::~leadership()
{
    impl_->end();
}

void leadership::tick()
{
    impl_->tick();
}

void leadership::resign()
{
    impl_->resign();
}

void leadership::step_down(const std::string& why)
{
    impl_->step_down(why);
}

void leadership::recover(const std::string& why)
{
    impl_->recover(why);
}

bool leadership::leading() const
{
    return impl_->leading();
}

timestamp leadership::lease_until() const
{
    return impl_->lease_until();
}

fencing_token leadership::token() const
{
    return impl_->token();
}

const std::string& leadership::leader() const
{
    return impl_->leader();
}

} // namespace mjm
