#include "jobs/given_up_runs.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace mjm {

void given_up_runs::add(const target_id& target, target_incarnation incarnation, const std::string& host,
                        const run_id& run, const given_up_run& known)
{
    const auto [it, added] = targets_.try_emplace(target);
    if (added)
        it->second.order = ++last_order_;
    it->second.incarnation = std::max(it->second.incarnation, incarnation);
    if (!host.empty())
        it->second.host = host;
    it->second.runs[run] = known;
    ++changes_;
}

bool given_up_runs::awaits_end(const target_id& target, const run_id& run) const
{
    const auto it = targets_.find(target);
    if (it == targets_.end())
        return false;
    const auto known = it->second.runs.find(run);
    return known != it->second.runs.end() && known->second.end_matters;
}

void given_up_runs::clear_suspects(const target_id& target)
{
    const auto it = targets_.find(target);
    if (it == targets_.end())
        return;
    for (auto& [run, known] : it->second.runs)
        known.suspect = false;
    std::erase_if(it->second.runs, [](const auto& entry) { return !entry.second.end_matters; });
    ++changes_;
    erase_if_empty(it);
}

void given_up_runs::remove(const target_id& target, const run_id& run)
{
    remove_if(target, [&run](const run_id& it) { return it == run; });
}

void given_up_runs::on_target_ended(const target_id& target)
{
    if (targets_.erase(target) > 0)
        ++changes_;
}

void given_up_runs::on_incarnation(const target_id& target, target_incarnation incarnation,
                                   const std::string& host)
{
    const auto same = targets_.find(target);
    if (same != targets_.end() && same->second.incarnation < incarnation) {
        std::erase_if(same->second.runs, [](const auto& entry) { return entry.second.listed; });
        same->second.incarnation = incarnation;
        ++changes_;
        erase_if_empty(same);
    }
    if (host.empty())
        return;
    const std::size_t ended = std::erase_if(targets_, [&](const auto& entry) {
        return entry.first != target && entry.second.host == host && entry.second.incarnation < incarnation;
    });
    changes_ += ended;
}

std::size_t given_up_runs::drop_excess()
{
    std::size_t kept = 0;
    for (const auto& [target, it] : targets_)
        kept += it.runs.size();
    std::size_t dropped = 0;
    while (kept - dropped > max_runs) {
        const auto oldest =
            std::min_element(targets_.begin(), targets_.end(),
                             [](const auto& a, const auto& b) { return a.second.order < b.second.order; });
        dropped += oldest->second.runs.size();
        targets_.erase(oldest);
        ++changes_;
    }
    return dropped;
}

void given_up_runs::erase_if_empty(std::map<target_id, target_runs>::iterator it)
{
    if (it->second.runs.empty())
        targets_.erase(it);
}

std::string given_up_runs::encode() const
{
    std::vector<const std::pair<const target_id, target_runs>*> by_order;
    by_order.reserve(targets_.size());
    for (const auto& entry : targets_)
        by_order.push_back(&entry);
    std::sort(by_order.begin(), by_order.end(),
              [](const auto* a, const auto* b) { return a->second.order < b->second.order; });
    nlohmann::json out = nlohmann::json::array();
    for (const auto* entry : by_order) {
        nlohmann::json runs = nlohmann::json::array();
        for (const auto& [run, known] : entry->second.runs)
            runs.push_back(
                {to_string(run.first), run.second, known.listed, known.end_matters, known.suspect});
        out.push_back({{"target", entry->first.str()},
                       {"incarnation", entry->second.incarnation},
                       {"host", entry->second.host},
                       {"runs", std::move(runs)}});
    }
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<given_up_runs> given_up_runs::decode(std::string_view text)
{
    try {
        given_up_runs out;
        const nlohmann::json in = nlohmann::json::parse(text);
        if (!in.is_array())
            return std::nullopt;
        for (const nlohmann::json& row : in) {
            const target_id target{row.at("target").get<std::string>()};
            for (const nlohmann::json& run : row.at("runs")) {
                const std::optional<task_key> task = parse_task_key(run.at(0).get<std::string>());
                if (!task)
                    return std::nullopt;
                out.add(target, row.at("incarnation").get<target_incarnation>(),
                        row.at("host").get<std::string>(), {*task, run.at(1).get<run_number>()},
                        {run.at(2).get<bool>(), run.at(3).get<bool>(), run.at(4).get<bool>()});
            }
        }
        out.changes_ = 0;
        return out;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace mjm
