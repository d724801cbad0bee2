#pragma once

#include "core/enum_names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mjm {

/// How a proposal was decided.
enum class decision { accepted, rejected };

template <>
struct enum_names<decision> {
    static constexpr std::array<std::pair<decision, std::string_view>, 2> entries{{
        {decision::accepted, "accepted"},
        {decision::rejected, "rejected"},
    }};
};

/// A decided proposal. The patch of an accepted proposal leads from the previous version to `version`.
struct config_decision {
    decision kind = decision::accepted;
    std::string proposal;          ///< Identifier chosen by the operator.
    std::uint64_t version = 0;     ///< Version created if accepted; version in force if rejected.
    std::uint64_t base = 0;        ///< Version that the patch was written against.
    std::string patch;             ///< RFC 6902 text; empty if rejected.
    std::string proposed_by;       ///< `operator:<id>`, `owner:<id>` or `system`.
    std::string decided_by;        ///< `owner:<id>` or `system`.
    std::string comment;           ///< Reason given with the proposal or the rejection.
    std::int64_t decided_at_s = 0; ///< Unix time by the deciding host's clock; for display only.
};

/// Value of the key `config/head`. Writing it by compare-and-swap is the commit point of every decision.
struct config_head {
    std::uint64_t version = 0;
    std::uint64_t snapshot_version = 0;   ///< 0 stands for the empty document, which has no snapshot.
    std::string history;                  ///< Key of the earlier decisions; empty if there are none.
    std::vector<config_decision> entries; ///< Decisions since the snapshot, oldest first.
};

inline constexpr std::string_view config_head_key = "config/head";

/// Key of the stored document of a version.
[[nodiscard]] std::string config_snapshot_key(std::uint64_t version);
/// Key under which the head of the given revision is stored when its entries move to the history.
[[nodiscard]] std::string config_history_key(std::uint64_t head_revision);

[[nodiscard]] std::string encode_head(const config_head& head);
/// Returns std::nullopt if the text is not a head, or if its accepted decisions do not lead from the snapshot
/// to the version.
[[nodiscard]] std::optional<config_head> decode_head(std::string_view text);

} // namespace mjm
