#include "membership/own_record.h"

#include "membership/member_records.h"

#include <algorithm>

namespace mjm {

namespace {

// Delay before the next attempt after a failed call. It is short compared to the lease, so that the lease
// does not expire after one lost answer.
constexpr std::chrono::milliseconds retry_delay{100};
constexpr std::uint64_t retry_jitter_us = 200'000;

/// Returns whether the store itself answered, even if it refused the call.
bool is_answer(store_errc ec)
{
    return ec == store_errc::conflict || ec == store_errc::not_found || ec == store_errc::too_large;
}

} // namespace

own_record::own_record(const member& self, kv_store& store, random_source& random,
                       const membership_settings& settings)
    : self_{self}, store_{store}, random_{random}, settings_{settings}
{
}

void own_record::set_config_version(std::uint64_t version)
{
    if (version <= self_.config_version)
        return;
    self_.config_version = version;
    up_to_date_ = false;
}

void own_record::set_leaving()
{
    if (self_.state == member_state::leaving)
        return;
    self_.state = member_state::leaving;
    up_to_date_ = false;
}

void own_record::observe_incarnation(std::uint64_t seen)
{
    if (incarnation_claimed_ && seen > self_.incarnation)
        superseded_ = true;
}

void own_record::observe_absence(timestamp started)
{
    if (!registered_ || started <= confirmed_at_)
        return;
    registered_ = false;
    up_to_date_ = false;
    counter_checked_ = false;
    revision_known_ = false;
}

void own_record::tick(timestamp now)
{
    now_ = now;
    if (in_flight_ || superseded_ || removed_ || now < next_try_)
        return;
    if (removing_ && (!incarnation_claimed_ || lease_ == 0)) {
        removed_ = true; // The store has no record of this process, or its lease has expired.
        return;
    }
    call_started_ = now;
    in_flight_ = true;
    if (!incarnation_claimed_ || !counter_checked_)
        read_counter();
    else if (lease_ == 0)
        request_lease();
    else if (!revision_known_)
        read_record();
    else if (removing_)
        erase_record();
    else if (now >= next_renewal_)
        renew_lease();
    else if (!up_to_date_)
        write_record();
    else
        in_flight_ = false;
}

void own_record::end_call(bool answered)
{
    in_flight_ = false;
    if (answered) {
        if (on_answer_)
            on_answer_(call_started_);
        return;
    }
    next_try_ = now_ + retry_delay + duration{static_cast<duration::rep>(random_.below(retry_jitter_us))};
}

void own_record::read_counter()
{
    store_.get(incarnation_key(self_.endpoint.id), 0,
               [weak = weak_from_this()](const tl::expected<kv_read, store_errc>& result) {
                   const std::shared_ptr<own_record> self = weak.lock();
                   if (!self)
                       return;
                   const bool absent = !result && result.error() == store_errc::not_found;
                   if (!result && !absent) {
                       self->end_call(false);
                       return;
                   }
                   const std::uint64_t last =
                       absent ? 0 : incarnation_from_json(result->entry.value).value_or(0);
                   self->end_call(true);
                   if (self->incarnation_claimed_) {
                       self->observe_incarnation(last);
                       self->counter_checked_ = true;
                       return;
                   }
                   self->in_flight_ = true;
                   self->write_counter(std::max(last + 1, self->self_.incarnation),
                                       absent ? 0 : result->entry.revision);
               });
}

void own_record::write_counter(std::uint64_t next, store_revision expected)
{
    // After a lost answer the counter is read again and the next number is claimed. Numbers may be skipped,
    // but none is used twice.
    store_.put(kv_write{.key = incarnation_key(self_.endpoint.id),
                        .value = incarnation_to_json(next),
                        .expected = expected},
               [weak = weak_from_this(), next](const tl::expected<store_revision, store_errc>& result) {
                   const std::shared_ptr<own_record> self = weak.lock();
                   if (!self)
                       return;
                   self->end_call(result || is_answer(result.error()));
                   if (!result)
                       return;
                   self->self_.incarnation = next;
                   self->incarnation_claimed_ = true;
                   self->counter_checked_ = true;
               });
}

void own_record::request_lease()
{
    store_.grant_lease(settings_.lease_ttl,
                       [weak = weak_from_this()](const tl::expected<store_lease_id, store_errc>& result) {
                           const std::shared_ptr<own_record> self = weak.lock();
                           if (!self)
                               return;
                           self->end_call(result || is_answer(result.error()));
                           if (!result)
                               return;
                           self->lease_ = *result;
                           self->next_renewal_ = self->call_started_ + self->settings_.renew_interval;
                           self->revision_known_ = false;
                           self->up_to_date_ = false;
                       });
}

void own_record::renew_lease()
{
    store_.keep_alive(lease_, [weak = weak_from_this()](const tl::expected<void, store_errc>& result) {
        const std::shared_ptr<own_record> self = weak.lock();
        if (!self)
            return;
        self->end_call(result || is_answer(result.error()));
        if (result) {
            self->next_renewal_ = self->call_started_ + self->settings_.renew_interval;
        } else if (result.error() == store_errc::not_found) {
            self->lease_ = 0;
            self->registered_ = false;
            self->counter_checked_ = false;
            if (self->on_lease_expiry_)
                self->on_lease_expiry_();
        }
    });
}

void own_record::read_record()
{
    store_.get(member_key(self_.endpoint.id), 0,
               [weak = weak_from_this()](const tl::expected<kv_read, store_errc>& result) {
                   const std::shared_ptr<own_record> self = weak.lock();
                   if (!self)
                       return;
                   const bool absent = !result && result.error() == store_errc::not_found;
                   self->end_call(result || absent);
                   if (!result && !absent)
                       return;
                   self->revision_known_ = true;
                   self->revision_ = absent ? 0 : result->entry.revision;
                   if (absent) {
                       self->removed_ = self->removing_;
                       return;
                   }
                   if (const std::optional<member> found = member_from_json(result->entry.value))
                       self->observe_incarnation(found->incarnation);
               });
}

void own_record::write_record()
{
    const member sent = self_;
    store_.put(kv_write{.key = member_key(self_.endpoint.id),
                        .value = member_to_json(sent),
                        .expected = revision_,
                        .lease = lease_},
               [weak = weak_from_this(), sent](const tl::expected<store_revision, store_errc>& result) {
                   const std::shared_ptr<own_record> self = weak.lock();
                   if (!self)
                       return;
                   self->end_call(result || is_answer(result.error()));
                   if (!result) {
                       // The next renewal reports a lease that has expired in the meantime.
                       self->revision_known_ = false;
                       if (result.error() == store_errc::not_found)
                           self->next_renewal_ = self->now_;
                       return;
                   }
                   self->revision_ = *result;
                   self->registered_ = true;
                   self->confirmed_at_ = self->now_;
                   self->up_to_date_ =
                       sent.state == self->self_.state && sent.config_version == self->self_.config_version;
               });
}

void own_record::erase_record()
{
    store_.erase(member_key(self_.endpoint.id), revision_,
                 [weak = weak_from_this()](const tl::expected<void, store_errc>& result) {
                     const std::shared_ptr<own_record> self = weak.lock();
                     if (!self)
                         return;
                     self->end_call(result || is_answer(result.error()));
                     if (result || result.error() == store_errc::not_found)
                         self->removed_ = true;
                     else
                         self->revision_known_ = false;
                 });
}

} // namespace mjm
