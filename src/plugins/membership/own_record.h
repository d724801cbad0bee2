#pragma once

#include "membership/membership_agent.h"

#include <functional>
#include <memory>

namespace mjm {

/// This host's record `members/<host>`: claims an incarnation, keeps the record alive under a store lease and
/// writes it again after the lease lapsed. Every write is a compare-and-swap, so that a process never
/// replaces the record of a newer incarnation of the same host name.
class own_record : public std::enable_shared_from_this<own_record> {
public:
    own_record(const member& self, kv_store& store, random_source& random,
               const membership_settings& settings);

    /// Called with the start time of each call that the store answered.
    void on_contact(std::function<void(timestamp begun)> callback) { on_contact_ = std::move(callback); }
    /// Called when the store reported that the lease had lapsed.
    void on_lapse(std::function<void()> callback) { on_lapse_ = std::move(callback); }

    void tick(timestamp now);
    void set_config_version(std::uint64_t version);
    void set_leaving();
    /// Removes the record; `removed()` becomes true when the store has confirmed it.
    void remove() { removing_ = true; }
    /// Another component read this incarnation for the host's name.
    void note_incarnation(std::uint64_t seen);

    /// A roster read begun at `begun` did not list this host. The record of a newer incarnation may have
    /// come and lapsed in between, so the counter is checked before the record is written again.
    void note_absent(timestamp begun);

    [[nodiscard]] const member& value() const { return self_; }
    /// The record with the present state is in the store, as far as known.
    [[nodiscard]] bool registered() const { return registered_; }
    [[nodiscard]] bool superseded() const { return superseded_; }
    [[nodiscard]] bool removed() const { return removed_; }

private:
    void read_counter();
    void write_counter(std::uint64_t next, store_revision expected);
    void request_lease();
    void renew_lease();
    void read_record();
    void write_record();
    void erase_record();
    /// Ends the call in flight; `answered` is true when the store gave a definite answer.
    void end_call(bool answered);

    member self_;
    kv_store& store_;
    random_source& random_;
    membership_settings settings_;
    std::function<void(timestamp)> on_contact_;
    std::function<void()> on_lapse_;

    timestamp now_;
    timestamp begun_;
    timestamp next_try_;
    timestamp next_renewal_;
    timestamp written_at_; ///< When the store last confirmed the record.
    store_lease_id lease_ = 0;
    store_revision revision_ = 0; ///< Of the record, 0 when absent.
    bool in_flight_ = false;
    bool claimed_ = false;
    bool counter_checked_ = false; ///< No newer incarnation since the present lease was granted.
    bool revision_known_ = false;
    bool registered_ = false;
    bool written_ = false; ///< The record in the store has the present content.
    bool superseded_ = false;
    bool removing_ = false;
    bool removed_ = false;
};

} // namespace mjm
