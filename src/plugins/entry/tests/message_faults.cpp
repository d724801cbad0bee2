#include "message_faults.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace mjm {

namespace {

/// Below the shortest timeout of a product client, since a longer delay is a timeout with a late effect.
constexpr duration longest_delay{std::chrono::seconds{1}};
constexpr duration latest_effect{std::chrono::seconds{8}};

bool is_store_call(std::string_view label)
{
    constexpr std::array<std::string_view, 7> store_calls{"get ",        "put ",        "erase ",   "list ",
                                                          "grant_lease", "keep_alive ", "host_list"};
    return std::any_of(store_calls.begin(), store_calls.end(),
                       [&](std::string_view prefix) { return label.starts_with(prefix); });
}

} // namespace

void message_faults::before_round()
{
    std::vector<call_pump::message_id> fresh;
    for (const call_pump::message& it : pump_.pending()) {
        if (it.id > judged_)
            fresh.push_back(it.id);
    }
    for (const call_pump::message_id id : fresh)
        disturb(id);
    release();
    // Released messages and losses' consequences are judged in the next round, at new identifiers.
    judged_ = std::max(judged_, fresh.empty() ? judged_ : *std::max_element(fresh.begin(), fresh.end()));
}

void message_faults::disturb(call_pump::message_id id)
{
    const auto it = std::find_if(pump_.pending().begin(), pump_.pending().end(),
                                 [id](const call_pump::message& m) { return m.id == id; });
    if (it == pump_.pending().end())
        return;
    // NOLINTNEXTLINE(performance-unnecessary-copy-initialization): dropping the message destroys the element.
    const call_pump::message original = *it;
    const bool request = original.way == call_pump::direction::request;
    double draw = random_.uniform01();
    const auto hit = [&draw](double rate) {
        draw -= rate;
        return draw < 0.0;
    };
    if (hit(rates_.lose)) {
        pump_.drop(id);
    } else if (hit(rates_.late)) {
        pump_.drop(id);
        if (request)
            hold(original, latest_effect);
    } else if (hit(rates_.duplicate)) {
        const bool excluded = original.label.starts_with("start ") && !rates_.starts_too;
        if (request && !excluded && !is_store_call(original.label))
            hold(original, longest_delay);
    } else if (hit(rates_.delay)) {
        call_pump::message taken;
        if (pump_.take(id, taken))
            hold(std::move(taken), longest_delay);
    } else if (hit(rates_.reorder)) {
        pump_.delay(id);
    }
}

void message_faults::hold(call_pump::message message, duration longest)
{
    const duration wait{
        static_cast<duration::rep>(random_.below(static_cast<std::uint64_t>(longest.count())))};
    held_.push_back({time_.now() + wait, std::move(message)});
}

void message_faults::release()
{
    const timestamp now = time_.now();
    std::vector<held_message> due;
    for (auto it = held_.begin(); it != held_.end();) {
        if (it->due > now) {
            ++it;
            continue;
        }
        due.push_back(std::move(*it));
        it = held_.erase(it);
    }
    for (held_message& it : due)
        judged_ = std::max(judged_,
                           pump_.add(it.message.way, it.message.label, it.message.deliver, it.message.lose));
}

} // namespace mjm
