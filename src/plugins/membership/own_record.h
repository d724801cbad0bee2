#pragma once

#include "membership/membership_agent.h"

#include <functional>
#include <memory>

namespace mjm {

/// Maintains this host's record `members/<host>`: claims an incarnation, keeps the record alive under a store
/// lease and writes it again after the lease has expired. Each write is a compare-and-swap, so that a process
/// never replaces the record of a newer incarnation of the same host name.
class own_record : public std::enable_shared_from_this<own_record> {
public:
    own_record(const member& self, kv_store& store, random_source& random,
               const membership_settings& settings);

    /// Sets the callback for each call that the store answered, with the start time of the call.
    void on_answer(std::function<void(timestamp started)> callback) { on_answer_ = std::move(callback); }
    /// Sets the callback for when the store reports that the lease has expired.
    void on_lease_expiry(std::function<void()> callback) { on_lease_expiry_ = std::move(callback); }

    /// Starts the next store call if one is due.
    void tick(timestamp now);
    void set_config_version(std::uint64_t version);
    void set_leaving();
    /// Removes the record. `removed()` returns true once the store has confirmed this.
    void remove() { removing_ = true; }
    /// Takes note of an incarnation that was read for the host's name elsewhere in the store. A newer one
    /// supersedes this process.
    void observe_incarnation(std::uint64_t seen);

    /// Takes note that a roster read started at `started` did not list this host. The record of a newer
    /// incarnation may have been written and have expired in between, so the counter is checked before the
    /// record is written again.
    void observe_absence(timestamp started);

    [[nodiscard]] const member& value() const { return self_; }
    /// Whether the record is in the store, as far as is known.
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
    /// Ends the call in flight. `answered` is true if the store gave a definite answer.
    void end_call(bool answered);

    member self_;
    kv_store& store_;
    random_source& random_;
    membership_settings settings_;
    std::function<void(timestamp)> on_answer_;
    std::function<void()> on_lease_expiry_;

    timestamp now_;
    timestamp call_started_;
    timestamp next_try_;
    timestamp next_renewal_;
    timestamp confirmed_at_; ///< When the store last confirmed the record.
    store_lease_id lease_ = 0;
    store_revision revision_ = 0; ///< Revision of the record; 0 if it is absent.
    bool in_flight_ = false;
    bool incarnation_claimed_ = false;
    /// Whether the counter was read since the lease last expired or the record was last found missing.
    bool counter_checked_ = false;
    bool revision_known_ = false;
    bool registered_ = false;
    bool up_to_date_ = false; ///< The record in the store has the current content.
    bool superseded_ = false;
    bool removing_ = false;
    bool removed_ = false;
};

} // namespace mjm
