#include "shard/target_lease.h"

namespace mjm {

target_lease::target_lease(const target_endpoint& endpoint, const lease_token& token, const clock& time,
                           target_client& targets, confirm_function confirm,
                           const target_lease_settings& settings)
    : endpoint_{endpoint}, token_{token}, time_{time}, targets_{targets}, confirm_{std::move(confirm)},
      settings_{settings}
{
}

void target_lease::tick()
{
    if (abandoned_ || time_.now() < next_action_)
        return;
    if (state_ == lease_state::closed)
        open();
    else if (state_ == lease_state::open && !renewing_)
        renew();
}

void target_lease::open()
{
    state_ = lease_state::opening;
    targets_.challenge(endpoint_,
                       [weak = weak_from_this()](const tl::expected<target_challenge, target_errc>& answer) {
                           const std::shared_ptr<target_lease> self = weak.lock();
                           if (!self)
                               return;
                           if (answer)
                               self->challenge_received(*answer);
                           else
                               self->retry_later();
                       });
}

void target_lease::challenge_received(const target_challenge& answer)
{
    // The store must be read after the target issued the challenge. A later owner that fenced the target
    // before the target's restart has recorded its higher epoch by then, so the read finds it.
    confirm_([weak = weak_from_this(), answer](bool confirmed) {
        if (const std::shared_ptr<target_lease> self = weak.lock())
            self->epoch_confirmed(answer, confirmed);
    });
}

void target_lease::epoch_confirmed(const target_challenge& answer, bool confirmed)
{
    if (!confirmed || abandoned_) {
        retry_later();
        return;
    }
    lease_token token = token_;
    token.boot_id = answer.boot_id;
    targets_.open_lease(endpoint_, token, answer.challenge, settings_.ttl,
                        [weak = weak_from_this()](const tl::expected<lease_grant, target_errc>& result) {
                            if (const std::shared_ptr<target_lease> self = weak.lock())
                                self->opened(result);
                        });
}

void target_lease::opened(const tl::expected<lease_grant, target_errc>& result)
{
    if (!result) {
        if (result.error() == target_errc::fenced)
            call_refused(target_errc::fenced);
        else
            retry_later();
        return;
    }
    const bool rebooted = !token_.boot_id.empty() && token_.boot_id != result->boot_id;
    token_.boot_id = result->boot_id;
    state_ = lease_state::open;
    ever_open_ = true;
    failed_renewals_ = 0;
    next_action_ = time_.now() + settings_.renew_interval;
    if (on_open_)
        on_open_(*result, rebooted);
}

void target_lease::renew()
{
    renewing_ = true;
    targets_.renew(endpoint_, token_,
                   [weak = weak_from_this()](const tl::expected<usage_report, target_errc>& result) {
                       if (const std::shared_ptr<target_lease> self = weak.lock())
                           self->renewed(result);
                   });
}

void target_lease::renewed(const tl::expected<usage_report, target_errc>& result)
{
    renewing_ = false;
    next_action_ = time_.now() + settings_.renew_interval;
    if (result) {
        failed_renewals_ = 0;
        if (on_usage_)
            on_usage_(*result);
        return;
    }
    if (result.error() == target_errc::fenced || result.error() == target_errc::lease_expired) {
        call_refused(result.error());
        return;
    }
    ++failed_renewals_;
    next_action_ = time_.now() + settings_.reopen_delay;
}

void target_lease::call_refused(target_errc ec)
{
    if (ec == target_errc::fenced) {
        state_ = lease_state::fenced;
    } else if (ec == target_errc::lease_expired && state_ == lease_state::open) {
        retry_later();
    }
}

void target_lease::retry_later()
{
    state_ = lease_state::closed;
    next_action_ = time_.now() + settings_.reopen_delay;
}

} // namespace mjm
