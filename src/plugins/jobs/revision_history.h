#pragma once

#include "core/time_types.h"
#include "platform/kv_store.h"

#include <cstddef>
#include <deque>

namespace mjm {

/// Revisions that the store is known to have reached by known times. A reader that has seen all changes up to
/// a revision can tell from them until when it is up to date, however many changes one answer may hold.
class revision_history {
public:
    /// Notes that the answer to a linearizable call, sent at `sent_at`, has shown the store's revision. All
    /// changes before `sent_at` have this revision or an earlier one.
    void add(timestamp sent_at, store_revision revision);
    /// Returns the latest known time before which no change has a later revision than `seen`; the epoch if
    /// none is known. It may be earlier than the answers show if `seen` is far behind.
    [[nodiscard]] timestamp complete_until(store_revision seen) const;
    /// Returns when the latest call was sent that has shown a revision; the epoch if there was none.
    [[nodiscard]] timestamp latest() const;

private:
    struct mark {
        timestamp sent_at;
        store_revision revision = 0;
    };
    static constexpr std::size_t max_marks = 512;

    std::deque<mark> marks_; ///< Both the times and the revisions rise.
};

} // namespace mjm
