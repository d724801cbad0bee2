#pragma once

#include "change_submitter.h"
#include "command.h"
#include "granted_key.h"

#include <optional>

namespace mjm {

/// Whether the command proposes a change, which `--dry-run` and `--base` then apply to.
[[nodiscard]] bool proposes(const command& what);
/// Whether the command takes effect at once, so that the operator is asked first.
[[nodiscard]] bool takes_effect(const command& what);

/// The call that carries out a changing command. `input` is the content of its file, `key` the one that
/// `keys grant` made. `what` has its proposal identifier and, when it proposes, its base.
[[nodiscard]] change make_change(const command& what, const nlohmann::json& input, const granted_key& key);

} // namespace mjm
