#pragma once

#include "core/time_types.h"
#include "jobs/job_types.h"

namespace mjm {

/// Chooses the fencing token of the orders to one target. A target refuses tokens below the highest one that
/// it has seen, but its next incarnation has seen none, so it would carry out orders to the former one that
/// arrive late. The token therefore rises once for each incarnation that becomes known.
class target_fence {
public:
    target_fence() = default;
    /// `raise_due` tells whether this leader may have sent orders with this token to a former incarnation.
    target_fence(fencing_token token, bool raise_due) : token_{token}, raise_due_{raise_due} {}

    /// Handles that the target has a new incarnation.
    void on_restart() { raise_due_ = true; }
    /// Returns the token of an order that is sent now. `latest` is the highest one that the leader may use.
    [[nodiscard]] fencing_token raise(fencing_token latest, timestamp now);
    [[nodiscard]] fencing_token token() const { return token_; }
    /// Whether a newer leader is the only cause of the refusal of an order that was sent then. Orders from
    /// before the rise may be overtaken by later ones of the same leader.
    [[nodiscard]] bool shows_newer_leader(timestamp sent_at) const { return sent_at > raised_at_; }
    /// Whether the token has risen since this leader knows the target.
    [[nodiscard]] bool has_risen() const { return raised_at_ != timestamp{}; }

private:
    fencing_token token_ = 0;
    bool raise_due_ = false;
    timestamp raised_at_;
};

} // namespace mjm
