#include "net/connection_admission.h"

#include <algorithm>

namespace mjm {

connection_admission::decision connection_admission::open(connection_id id)
{
    decision d;
    if (entries_.size() >= limits_.connections) {
        if (places_.empty())
            return d;
        d.displaced.push_back(places_.begin()->id);
        close(d.displaced.front());
    }
    entry& e = entries_[id];
    e.order = next_order_++;
    places_.insert(place_of(id, e));
    d.admitted = true;
    return d;
}

void connection_admission::close(connection_id id)
{
    const auto it = entries_.find(id);
    if (it == entries_.end())
        return;
    places_.erase(place_of(id, it->second));
    bytes_ -= it->second.bytes;
    entries_.erase(it);
}

void connection_admission::set_phase(connection_id id, connection_phase phase)
{
    const auto it = entries_.find(id);
    if (it == entries_.end() || it->second.phase == phase)
        return;
    places_.erase(place_of(id, it->second));
    it->second.phase = phase;
    it->second.order = next_order_++;
    if (phase != connection_phase::handling)
        places_.insert(place_of(id, it->second));
}

connection_admission::decision connection_admission::hold(connection_id id, std::size_t bytes)
{
    decision d;
    const auto it = entries_.find(id);
    if (it == entries_.end())
        return d;
    const std::size_t others = bytes_ - it->second.bytes;
    std::size_t freed = 0;
    for (const place& p : places_) {
        if (others - freed + bytes <= limits_.bytes)
            break;
        const std::size_t held = entries_.at(p.id).bytes;
        if (p.id == id || held == 0)
            continue;
        freed += held;
        d.displaced.push_back(p.id);
    }
    // Nothing is closed in favour of a request that is refused nevertheless.
    if (others - freed + bytes > limits_.bytes) {
        d.displaced.clear();
        return d;
    }
    for (const connection_id displaced : d.displaced)
        close(displaced);
    bytes_ = bytes_ - it->second.bytes + bytes;
    it->second.bytes = bytes;
    d.admitted = true;
    return d;
}

std::size_t connection_admission::pass_on(connection_id id, std::size_t bytes)
{
    const auto it = entries_.find(id);
    if (it == entries_.end())
        return 0;
    const std::size_t moved = std::min(it->second.bytes, bytes);
    it->second.bytes -= moved;
    return moved;
}

void connection_admission::release_passed_on(std::size_t bytes)
{
    bytes_ -= std::min(bytes_, bytes);
}

} // namespace mjm
