#pragma once

#include "core/clock.h"
#include "core/enum_names.h"
#include "platform/target_client.h"

#include <functional>
#include <memory>
#include <optional>

namespace mjm {

struct target_lease_settings {
    duration ttl{std::chrono::seconds{60}}; ///< Only limits how long tasks without an owner go on running.
    duration renew_interval{std::chrono::seconds{10}};
    duration reopen_delay{std::chrono::milliseconds{500}}; ///< Delay after a failed open or renewal.
};

enum class lease_state { closed, opening, open, fenced };

template <>
struct enum_names<lease_state> {
    static constexpr std::array<std::pair<lease_state, std::string_view>, 4> entries{{
        {lease_state::closed, "closed"},
        {lease_state::opening, "opening"},
        {lease_state::open, "open"},
        {lease_state::fenced, "fenced"},
    }};
};

/// Lease of a shard's owner on one target. Opens the lease with a challenge from the target and a confirmed
/// epoch, renews it, and reopens it after a restart of the target.
class target_lease : public std::enable_shared_from_this<target_lease> {
public:
    /// Passes on whether the epoch is current, according to a new read of the store.
    using confirm_function = std::function<void(std::function<void(bool)>)>;

    target_lease(const target_endpoint& endpoint, const lease_token& token, const clock& time,
                 target_client& targets, confirm_function confirm, const target_lease_settings& settings);

    /// Sets the function that is called when the lease was opened. Its `rebooted` is true if the target had
    /// another boot identifier before, so that every task of the earlier boot has ended.
    void on_open(std::function<void(const lease_grant&, bool rebooted)> callback)
    {
        on_open_ = std::move(callback);
    }
    /// Sets the function that is called with each usage report of the target.
    void on_usage(std::function<void(const usage_report&)> callback) { on_usage_ = std::move(callback); }

    void tick();
    /// Stops renewing and opening the lease.
    void abandon() { abandoned_ = true; }

    /// Handles the error of a call that the target refused under this lease: reopens an expired lease, and
    /// stops using a fenced one.
    void call_refused(target_errc ec);

    [[nodiscard]] lease_state state() const { return state_; }
    /// Whether the lease has been open under this epoch, so that no earlier owner can start tasks any more.
    [[nodiscard]] bool ever_open() const { return ever_open_; }
    /// Whether the lease is open and fewer than two renewals in a row have failed.
    [[nodiscard]] bool reachable() const { return state_ == lease_state::open && failed_renewals_ < 2; }
    [[nodiscard]] const lease_token& token() const { return token_; }
    [[nodiscard]] const target_endpoint& endpoint() const { return endpoint_; }

private:
    void open();
    void challenge_received(const target_challenge& answer);
    void epoch_confirmed(const target_challenge& answer, bool confirmed);
    void opened(const tl::expected<lease_grant, target_errc>& result);
    void renew();
    void renewed(const tl::expected<usage_report, target_errc>& result);
    void retry_later();

    target_endpoint endpoint_;
    lease_token token_;
    const clock& time_;
    target_client& targets_;
    confirm_function confirm_;
    target_lease_settings settings_;
    std::function<void(const lease_grant&, bool)> on_open_;
    std::function<void(const usage_report&)> on_usage_;

    lease_state state_ = lease_state::closed;
    bool ever_open_ = false;
    bool abandoned_ = false;
    bool renewing_ = false;
    unsigned failed_renewals_ = 0;
    timestamp next_action_;
};

} // namespace mjm
