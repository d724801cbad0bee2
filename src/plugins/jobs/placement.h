#pragma once

#include "jobs/target_status.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace mjm {

/// What a task asks of its target.
struct placement_request {
    const step_spec* step = nullptr;
    const std::map<target_id, std::uint32_t>* step_runs = nullptr; ///< Runs of the step by target.
    std::string avoided_target; ///< Where the task failed before; taken only if nothing else fits.
    std::string preferred_rack; ///< Where the step's other tasks run; empty for none.
};

/// Whether the target has room for one more task of the step, leaving other conditions aside.
[[nodiscard]] bool has_room(const target_status& t, const step_spec& step);

/// Chooses a target for one task; null when none is fit. Tasks that end soon fill up the fullest target that
/// has room, so that others stay free for wide tasks and for maintenance; permanent tasks go to the
/// emptiest one, so that a target's loss takes few of them.
[[nodiscard]] target_status* choose_target(const placement_request& request,
                                           const std::vector<target_status*>& pool, timestamp now);

} // namespace mjm
