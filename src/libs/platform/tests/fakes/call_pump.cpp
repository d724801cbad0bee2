#include "call_pump.h"

#include <algorithm>
#include <utility>

namespace mjm {

call_pump::message_id call_pump::add(direction way, std::string label, std::function<void()> deliver,
                                     std::function<void()> lose)
{
    messages_.push_back({++last_id_, way, std::move(label), std::move(deliver), std::move(lose)});
    return last_id_;
}

call_pump::message_id call_pump::find(direction way, std::string_view prefix) const
{
    for (const message& it : messages_) {
        if (it.way == way && it.label.starts_with(prefix))
            return it.id;
    }
    return 0;
}

bool call_pump::take(message_id id, message& out)
{
    const auto it =
        std::find_if(messages_.begin(), messages_.end(), [id](const message& m) { return m.id == id; });
    if (it == messages_.end())
        return false;
    out = std::move(*it);
    messages_.erase(it);
    return true;
}

bool call_pump::deliver_next()
{
    return !messages_.empty() && deliver(messages_.front().id);
}

bool call_pump::deliver(message_id id)
{
    message m;
    if (!take(id, m))
        return false;
    m.deliver();
    return true;
}

bool call_pump::drop(message_id id)
{
    message m;
    if (!take(id, m))
        return false;
    m.lose();
    return true;
}

bool call_pump::delay(message_id id)
{
    message m;
    if (!take(id, m))
        return false;
    messages_.push_back(std::move(m));
    return true;
}

std::size_t call_pump::deliver_all(std::size_t limit)
{
    std::size_t n = 0;
    while (n < limit && deliver_next())
        ++n;
    return n;
}

std::size_t call_pump::deliver_round()
{
    const message_id last = last_id_;
    std::size_t n = 0;
    while (true) {
        const auto it = std::find_if(messages_.begin(), messages_.end(),
                                     [last](const message& m) { return m.id <= last; });
        if (it == messages_.end())
            return n;
        deliver(it->id);
        ++n;
    }
}

} // namespace mjm
