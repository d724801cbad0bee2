#pragma once

#include "scheduling/fair_queue.h"

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace mjm::bench {

/// An order in which one shard starts its waiting requests.
class discipline {
public:
    discipline() = default;
    discipline(const discipline&) = delete;
    discipline& operator=(const discipline&) = delete;
    virtual ~discipline() = default;

    [[nodiscard]] virtual bool enqueue(const queued_task& task, timestamp now) = 0;
    [[nodiscard]] virtual std::optional<queued_task> pick(const pick_context& context, timestamp now) = 0;
    [[nodiscard]] virtual std::vector<request_id> expire(timestamp now) = 0;
    virtual void task_started(const team_id& team, const resources& used, timestamp now) = 0;
    virtual void task_finished(const team_id& team, const resources& used, timestamp now) = 0;
    virtual void set_remote_usage(const team_id& /*team*/, double /*fraction*/) {}
    [[nodiscard]] virtual std::optional<queued_task> reserved() const { return std::nullopt; }
    [[nodiscard]] virtual std::size_t size() const = 0;
};

enum class discipline_kind { fair, fair_without_gossip, first_come, partition };

using share_list = std::vector<std::pair<team_id, double>>;

/// `capacity` is the shard's, `fleet_fraction` its part of all shards together.
[[nodiscard]] std::unique_ptr<discipline> make_discipline(discipline_kind kind, const share_list& shares,
                                                          const resources& capacity, double fleet_fraction);

} // namespace mjm::bench

template <>
struct mjm::enum_names<mjm::bench::discipline_kind> {
    static constexpr std::array<std::pair<mjm::bench::discipline_kind, std::string_view>, 4> entries{{
        {mjm::bench::discipline_kind::fair, "fair_queue"},
        {mjm::bench::discipline_kind::fair_without_gossip, "fair_queue_no_gossip"},
        {mjm::bench::discipline_kind::first_come, "first_come"},
        {mjm::bench::discipline_kind::partition, "partition"},
    }};
};
