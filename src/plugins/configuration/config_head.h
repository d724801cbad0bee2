#pragma once

#include "core/enum_names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mjm {

enum class decision { accepted, rejected };

template <>
struct enum_names<decision> {
    static constexpr std::array<std::pair<decision, std::string_view>, 2> entries{{
        {decision::accepted, "accepted"},
        {decision::rejected, "rejected"},
    }};
};

/// One decided proposal. An accepted one is the delta that leads to its version.
struct config_decision {
    decision kind = decision::accepted;
    std::string proposal;          ///< Identifier chosen by the operator.
    std::uint64_t version = 0;     ///< Version made by an accepted proposal; version in force otherwise.
    std::uint64_t base = 0;        ///< Version that the patch was written against.
    std::string patch;             ///< RFC 6902 text; empty for a rejected proposal.
    std::string proposed_by;       ///< `operator:<id>`, `owner:<id>` or `system`.
    std::string decided_by;        ///< `owner:<id>` or `system`.
    std::string comment;           ///< Reason given with the proposal or the rejection.
    std::int64_t decided_at_s = 0; ///< Wall clock of the deciding host; informative only.
};

/// Value of the key `config/head`. Writing it by compare-and-swap is the commit point of every decision.
struct config_head {
    std::uint64_t version = 0;
    std::uint64_t snapshot_version = 0;   ///< 0 is the empty document, which has no snapshot key.
    std::string history;                  ///< Key of the earlier decisions; empty when there are none.
    std::vector<config_decision> entries; ///< Decisions since the snapshot, oldest first.
};

inline constexpr std::string_view config_head_key = "config/head";

[[nodiscard]] std::string config_snapshot_key(std::uint64_t version);
/// Key under which the head of a given revision is kept once its entries have left the head.
[[nodiscard]] std::string config_history_key(std::uint64_t head_revision);

[[nodiscard]] std::string encode_head(const config_head& head);
/// Nothing when the text is not a head or its deltas do not lead from the snapshot to the version.
[[nodiscard]] std::optional<config_head> decode_head(std::string_view text);

} // namespace mjm
