#pragma once

#include "core/time_types.h"

#include <optional>

namespace mjm {

/// Keeps the promises that this process gives to other hosts while the store is unreachable from here: it
/// sends no commit until the promise has ended. Everything in the process that commits or promises shares
/// one object.
class commit_promise {
public:
    explicit commit_promise(duration length = std::chrono::seconds{3}) : length_{length} {}

    /// Promises not to commit from `now` on for the length of a promise, and returns the end of the promise.
    /// Returns std::nullopt and promises nothing while a commit is outstanding, because its write may take
    /// effect at any time until the store has answered.
    [[nodiscard]] std::optional<timestamp> give(timestamp now);
    /// Whether no promise is in force, so that a commit may be sent.
    [[nodiscard]] bool may_commit(timestamp now) const { return !until_ || now >= *until_; }

    /// Records that a commit is about to be sent. Each call is followed by one of `commit_resolved`.
    void commit_started(timestamp now);
    /// Records that the effect of a commit is known.
    void commit_resolved() { --outstanding_; }
    /// Earliest time at which a commit whose effect is unknown may have been sent, for `key_freshness`.
    /// Returns std::nullopt if the effects of all commits are known.
    [[nodiscard]] std::optional<timestamp> outstanding_since() const;

private:
    duration length_;
    std::optional<timestamp> until_; ///< End of the latest promise.
    timestamp outstanding_since_;    ///< When `outstanding_` last rose from 0.
    int outstanding_ = 0;            ///< Commits whose effect is unknown.
};

} // namespace mjm
