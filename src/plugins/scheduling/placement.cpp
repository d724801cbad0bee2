#include "scheduling/placement.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string_view>
#include <unordered_map>

namespace mjm {

namespace {

// A full rack counts as much as a quarter of a full target, and a target that has just come back as half:
// both only decide between targets of similar load.
constexpr double rack_weight = 0.25;
constexpr double health_weight = 0.5;
// Scores closer than this are equal; the lagging reports are not more exact.
constexpr double score_tolerance = 0.02;

bool eligible(const placement_candidate& it)
{
    return it.usable && it.weight > 0.0;
}

/// The owner's own count is exact for slots and accelerators. Reported usage matters when it is larger:
/// memory beyond the declared size must not be handed out again.
bool has_capacity(const placement_candidate& it, const resources& need)
{
    resources used = it.reserved;
    used.memory_mib = std::max(used.memory_mib, it.reported_used.memory_mib);
    return (used + need).fits_in(it.capacity);
}

double load_with(const placement_candidate& it, const resources& need)
{
    resources used = it.reserved;
    used.memory_mib = std::max(used.memory_mib, it.reported_used.memory_mib);
    used.milli_cpu = std::max(used.milli_cpu, it.reported_used.milli_cpu);
    return (used + need).dominant_fraction(it.capacity);
}

struct rack_load {
    resources used;
    resources capacity;
};

} // namespace

std::optional<target_id> choose_target(const std::vector<placement_candidate>& candidates,
                                       const resources& need, random_source& random)
{
    std::unordered_map<std::string_view, rack_load> racks;
    std::vector<const rack_load*> rack_of;
    rack_of.reserve(candidates.size());
    for (const placement_candidate& it : candidates) {
        rack_load& rack = racks[it.rack.str()];
        rack_of.push_back(&rack);
        rack.used += it.reserved;
        rack.capacity += it.capacity;
    }
    const placement_candidate* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    std::uint64_t equals = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const placement_candidate& it = candidates[n];
        if (!eligible(it) || !has_capacity(it, need))
            continue;
        const rack_load& rack = *rack_of[n];
        const double score = load_with(it, need) + rack_weight * rack.used.dominant_fraction(rack.capacity) +
                             health_weight * (1.0 - std::min(it.weight, 1.0));
        if (score < best_score - score_tolerance) {
            best = &it;
            best_score = score;
            equals = 1;
        } else if (score <= best_score + score_tolerance) {
            ++equals;
            // Reservoir sampling among equals, so that owners with the same view do not all pick one target.
            if (random.below(equals) == 0)
                best = &it;
            best_score = std::min(best_score, score);
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return best->id;
}

std::optional<target_id> choose_reservation(const std::vector<placement_candidate>& candidates,
                                            const resources& need)
{
    const placement_candidate* best = nullptr;
    double best_load = std::numeric_limits<double>::max();
    for (const placement_candidate& it : candidates) {
        if (!eligible(it) || !need.fits_in(it.capacity))
            continue;
        const double load = load_with(it, resources{});
        if (load < best_load) {
            best = &it;
            best_load = load;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return best->id;
}

} // namespace mjm
