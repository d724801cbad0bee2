#include "jobs/revision_history.h"

#include <algorithm>

namespace mjm {

void revision_history::add(timestamp sent_at, store_revision revision)
{
    if (revision == 0)
        return; // The answer didn't tell the revision.
    // Answers may overtake each other, so the mark need not be the last one.
    const auto next = std::upper_bound(marks_.begin(), marks_.end(), sent_at,
                                       [](timestamp at, const mark& m) { return at < m.sent_at; });
    if (next != marks_.end() && next->revision <= revision)
        return; // A later call has shown a revision that is not later.
    auto first = next;
    while (first != marks_.begin() && std::prev(first)->revision >= revision)
        --first;
    marks_.insert(marks_.erase(first, next), {sent_at, revision});
    if (marks_.size() > max_marks)
        marks_.pop_front();
}

timestamp revision_history::complete_until(store_revision seen) const
{
    const auto later = std::upper_bound(marks_.begin(), marks_.end(), seen,
                                        [](store_revision r, const mark& m) { return r < m.revision; });
    return later == marks_.begin() ? timestamp{} : std::prev(later)->sent_at;
}

timestamp revision_history::latest() const
{
    return marks_.empty() ? timestamp{} : marks_.back().sent_at;
}

} // namespace mjm
