#include "shard/work_picker.h"

namespace mjm {

std::optional<picked_work> work_picker::pick(const permit_check& has_permit, const avoided_targets& avoided,
                                             timestamp now)
{
    const std::optional<queued_task> reserved_before = queue_.reserved();
    const std::optional<queued_task> picked = queue_.pick(make_context(has_permit), now);
    if (!picked)
        return std::nullopt;
    // A reservation that the pick itself ended or granted does not bind this task.
    const std::optional<queued_task> reserved_after = queue_.reserved();
    const bool still_reserved =
        reserved_before && reserved_after && reserved_before->id == reserved_after->id;
    return picked_work{
        *picked, target_for(*picked, avoided(picked->id), still_reserved ? reserved_after : std::nullopt)};
}

pick_context work_picker::make_context(const permit_check& has_permit) const
{
    const auto has_capacity = [this](const resources& need) {
        return targets_.choose(need, {}, tasks_, random_).has_value();
    };
    pick_context context;
    context.may_start = has_permit;
    context.fits = [has_capacity](const queued_task& task) { return has_capacity(task.need); };
    context.has_capacity = has_capacity;
    context.fits_beside_reserved = [this](const queued_task& task, const queued_task& reserved) {
        const std::optional<target_id> kept = targets_.choose_kept(reserved.need, tasks_);
        return !kept || targets_.choose_beside(task.need, *kept, tasks_, random_).has_value();
    };
    return context;
}

std::optional<target_id> work_picker::target_for(const queued_task& task, const std::set<target_id>& avoid,
                                                 const std::optional<queued_task>& reserved) const
{
    if (reserved && reserved->id != task.id) {
        if (const std::optional<target_id> kept = targets_.choose_kept(reserved->need, tasks_))
            return targets_.choose_beside(task.need, *kept, tasks_, random_);
    }
    return targets_.choose(task.need, avoid, tasks_, random_);
}

} // namespace mjm
