#include "jobs/run_evidence.h"

namespace mjm {

absence meaning_of_absence(const task_run& run, const target_report& report, timestamp sent_at)
{
    if (!report.tells_of_all_runs)
        return absence::proves_nothing;
    const bool of_former = run.incarnation != report.incarnation;
    switch (run.phase) {
    case run_phase::planned:
    case run_phase::ordered:
        return absence::proves_nothing;
    case run_phase::running:
        if (run.answered_at >= sent_at)
            return absence::proves_nothing;
        return of_former ? absence::lost : absence::ended;
    case run_phase::unconfirmed:
        // A start sent by an earlier leader can't take effect any more, since the target has seen this
        // leader's token.
        if (run.ordered_at == timestamp{})
            return of_former ? absence::lost : absence::not_received;
        return run.ordered_at < sent_at ? absence::not_answered : absence::proves_nothing;
    case run_phase::stopping:
        // The present incarnation may not know of the stop.
        if (of_former)
            return run.ordered_at < sent_at ? absence::not_answered : absence::proves_nothing;
        return !run.order_pending && run.answered_at != timestamp{} && run.answered_at < sent_at
                   ? absence::ended
                   : absence::proves_nothing;
    }
    return absence::proves_nothing;
}

late_end meaning_of_late_end(const listed_end& end, const task* t, std::uint32_t max_attempts)
{
    if (end.how != run_end::done && end.how != run_end::failed)
        return late_end::proves_nothing;
    if (t == nullptr)
        return late_end::contradicts_start;
    if (t->last_sent_run <= end.run)
        return late_end::counts;
    return end.how == run_end::failed && t->failures + 1 < max_attempts ? late_end::counts_as_failure
                                                                        : late_end::contradicts_start;
}

} // namespace mjm
