#pragma once

#include "core/time_types.h"

#include <optional>

namespace mjm {

/// Keeps the promises "the store is unreachable from here, no commit for a while" that this process gave
/// to other hosts. One object is shared by everything in the process that commits or promises.
class commit_promise {
public:
    explicit commit_promise(duration length = std::chrono::seconds{3}) : length_{length} {}

    /// Promises not to commit for the length of a promise from `now` on. Nothing, and no promise, while a
    /// commit is outstanding: its write may take effect at any time until the store has answered.
    [[nodiscard]] std::optional<timestamp> give(timestamp now);
    /// True when no promise is in force and a commit may be sent.
    [[nodiscard]] bool may_commit(timestamp now) const { return !until_ || now >= *until_; }

    /// Brackets a commit from before its write is sent until its effect is known.
    void commit_started(timestamp now);
    void commit_resolved() { --outstanding_; }
    /// When the oldest commit whose effect is not known may have been sent, for `key_freshness`.
    [[nodiscard]] std::optional<timestamp> outstanding_since() const;

private:
    duration length_;
    std::optional<timestamp> until_;
    timestamp since_; ///< When `outstanding_` last rose from 0.
    int outstanding_ = 0;
};

} // namespace mjm
