#pragma once

#include "core/enum_names.h"

#include <cstdint>
#include <functional>
#include <string>

namespace mjm {

/// The guarantees that the program checks about itself while it runs.
enum class invariant {
    availability_budget,
    one_pool,
    team_key,
    team_limit,
    whole_answer,
    true_refusal,
    at_most_once,
    no_work_to_leaving,
    graceful_stop,
    config_monotonic,
    target_slots,
};

template <>
struct enum_names<invariant> {
    static constexpr std::array<std::pair<invariant, std::string_view>, 11> entries{{
        {invariant::availability_budget, "availability_budget"},
        {invariant::one_pool, "one_pool"},
        {invariant::team_key, "team_key"},
        {invariant::team_limit, "team_limit"},
        {invariant::whole_answer, "whole_answer"},
        {invariant::true_refusal, "true_refusal"},
        {invariant::at_most_once, "at_most_once"},
        {invariant::no_work_to_leaving, "no_work_to_leaving"},
        {invariant::graceful_stop, "graceful_stop"},
        {invariant::config_monotonic, "config_monotonic"},
        {invariant::target_slots, "target_slots"},
    }};
};

using invariant_handler = std::function<void(invariant which, const std::string& detail)>;

/// Sets what happens on a violation and returns the previous handler. The default only counts, so that
/// a violation never stops the serving path.
invariant_handler set_invariant_handler(invariant_handler handler);

/// Counts and reports a violation when `holds` is false. Returns `holds`.
bool check_invariant(bool holds, invariant which, const std::string& detail);

[[nodiscard]] std::uint64_t invariant_violations(invariant which);

} // namespace mjm
