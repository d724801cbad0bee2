#pragma once

#include "core/enum_names.h"
#include "core/hybrid_clock.h"
#include "core/identifiers.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mjm {

enum class timeline_kind {
    process_started,
    process_stopped,
    drain_started,
    drain_finished,
    member_joined,
    member_left,
    shard_gained,
    shard_recovered,
    shard_lost,
    lease_opened,
    lease_refused,
    request_accepted,
    request_forwarded,
    request_refused,
    request_cancelled,
    request_finished,
    request_unknown,
    task_started,
    task_retried,
    task_adopted,
    task_finished,
    permits_gained,
    permits_returned,
    config_proposed,
    config_committed,
    config_installed,
    key_policy_changed,
    target_leaving,
    target_ejected,
    target_reinstated,
    store_lost,
    store_restored,
    invariant_violated,
    wave_started,
    wave_stopped,
    wave_finished,
    host_cordoned,
    host_drained,
    host_rebooted,
    host_returned,
    events_dropped, ///< `detail` is the number of events missing before this one.
};

template <>
struct enum_names<timeline_kind> {
    static constexpr std::array<std::pair<timeline_kind, std::string_view>, 41> entries{{
        {timeline_kind::process_started, "process_started"},
        {timeline_kind::process_stopped, "process_stopped"},
        {timeline_kind::drain_started, "drain_started"},
        {timeline_kind::drain_finished, "drain_finished"},
        {timeline_kind::member_joined, "member_joined"},
        {timeline_kind::member_left, "member_left"},
        {timeline_kind::shard_gained, "shard_gained"},
        {timeline_kind::shard_recovered, "shard_recovered"},
        {timeline_kind::shard_lost, "shard_lost"},
        {timeline_kind::lease_opened, "lease_opened"},
        {timeline_kind::lease_refused, "lease_refused"},
        {timeline_kind::request_accepted, "request_accepted"},
        {timeline_kind::request_forwarded, "request_forwarded"},
        {timeline_kind::request_refused, "request_refused"},
        {timeline_kind::request_cancelled, "request_cancelled"},
        {timeline_kind::request_finished, "request_finished"},
        {timeline_kind::request_unknown, "request_unknown"},
        {timeline_kind::task_started, "task_started"},
        {timeline_kind::task_retried, "task_retried"},
        {timeline_kind::task_adopted, "task_adopted"},
        {timeline_kind::task_finished, "task_finished"},
        {timeline_kind::permits_gained, "permits_gained"},
        {timeline_kind::permits_returned, "permits_returned"},
        {timeline_kind::config_proposed, "config_proposed"},
        {timeline_kind::config_committed, "config_committed"},
        {timeline_kind::config_installed, "config_installed"},
        {timeline_kind::key_policy_changed, "key_policy_changed"},
        {timeline_kind::target_leaving, "target_leaving"},
        {timeline_kind::target_ejected, "target_ejected"},
        {timeline_kind::target_reinstated, "target_reinstated"},
        {timeline_kind::store_lost, "store_lost"},
        {timeline_kind::store_restored, "store_restored"},
        {timeline_kind::invariant_violated, "invariant_violated"},
        {timeline_kind::wave_started, "wave_started"},
        {timeline_kind::wave_stopped, "wave_stopped"},
        {timeline_kind::wave_finished, "wave_finished"},
        {timeline_kind::host_cordoned, "host_cordoned"},
        {timeline_kind::host_drained, "host_drained"},
        {timeline_kind::host_rebooted, "host_rebooted"},
        {timeline_kind::host_returned, "host_returned"},
        {timeline_kind::events_dropped, "events_dropped"},
    }};
};

/// What an event is about; unused members stay empty and are left out of the JSON form.
struct timeline_fields {
    team_id team;
    std::string subject; ///< The host concerned: a target or another entry host.
    request_id request;
    std::optional<shard_id> shard;
    std::string wave;
    std::uint64_t version = 0; ///< Configuration version; 0 for none.
    std::string detail;        ///< Short free text.

    friend bool operator==(const timeline_fields&, const timeline_fields&) = default;
};

struct timeline_event {
    hybrid_time time;
    host_id host; ///< The entry host that recorded the event.
    zone_id zone; ///< Zone of that host.
    timeline_kind kind = timeline_kind::process_started;
    timeline_fields fields;

    friend bool operator==(const timeline_event&, const timeline_event&) = default;
};

enum class timeline_errc {
    not_json,
    missing_field, ///< Time, host, zone or kind is absent.
    wrong_field,   ///< A field has the wrong type, or a value that cannot be an identifier.
    unknown_kind,
};

template <>
struct enum_names<timeline_errc> {
    static constexpr std::array<std::pair<timeline_errc, std::string_view>, 4> entries{{
        {timeline_errc::not_json, "not_json"},
        {timeline_errc::missing_field, "missing_field"},
        {timeline_errc::wrong_field, "wrong_field"},
        {timeline_errc::unknown_kind, "unknown_kind"},
    }};
};

/// One JSON object without a line end; `ms` and `n` are the parts of the hybrid time.
[[nodiscard]] std::string to_json(const timeline_event& event);
/// Keys that this version does not know are ignored.
[[nodiscard]] tl::expected<timeline_event, timeline_errc> parse_timeline_event(std::string_view line);

} // namespace mjm
