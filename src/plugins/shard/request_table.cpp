#include "shard/request_table.h"

namespace mjm {

request_record* request_table::find(const request_id& id)
{
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
}

request_record& request_table::add(request_record record)
{
    const request_id id = record.work.id;
    return records_.insert_or_assign(id, std::move(record)).first->second;
}

void request_table::remove(const request_id& id)
{
    records_.erase(id);
}

void request_table::end(const request_id& id, const outcome& result, timestamp now)
{
    request_record* record = find(id);
    if (record == nullptr || record->phase == request_phase::ended)
        return;
    record->phase = request_phase::ended;
    record->result = result;
    record->work.body.clear();
    record->work.body.shrink_to_fit();
    const bool ticketed = !record->work.idempotent;
    std::deque<retained_entry>& retained = ticketed ? ticketed_ : idempotent_;
    retained.push_back(
        {id, now + (ticketed ? settings_.ticketed_retention : settings_.idempotent_retention)});
    if (!result.body.empty()) {
        bodies_.push_back(id);
        body_bytes_ += result.body.size();
    }
    drop_old_bodies();
    notify_waiters(id, result);
}

void request_table::end_and_forget(const request_id& id, const outcome& result)
{
    request_record* record = find(id);
    if (record == nullptr)
        return;
    const std::vector<outcome_function> waiters = std::move(record->waiters);
    records_.erase(id);
    for (const outcome_function& waiter : waiters)
        waiter(result);
}

void request_table::notify_waiters(const request_id& id, const outcome& result)
{
    request_record* record = find(id);
    if (record == nullptr)
        return;
    const std::vector<outcome_function> waiters = std::move(record->waiters);
    record->waiters.clear();
    for (const outcome_function& waiter : waiters)
        waiter(result);
}

void request_table::correct(const request_id& id, const outcome& result)
{
    request_record* record = find(id);
    if (record == nullptr || record->phase != request_phase::ended)
        return;
    body_bytes_ += result.body.size();
    body_bytes_ -= record->result.body.size();
    if (record->result.body.empty() && !result.body.empty())
        bodies_.push_back(id);
    record->result = result;
    drop_old_bodies();
}

void request_table::expire(timestamp now)
{
    for (std::deque<retained_entry>* retained : {&ticketed_, &idempotent_}) {
        while (!retained->empty() && retained->front().until <= now) {
            const auto it = records_.find(retained->front().id);
            if (it != records_.end()) {
                body_bytes_ -= it->second.result.body.size();
                records_.erase(it);
            }
            retained->pop_front();
        }
    }
    while (!bodies_.empty() && !records_.contains(bodies_.front()))
        bodies_.pop_front();
}

std::vector<request_id> request_table::open_ids() const
{
    std::vector<request_id> ids;
    for (const auto& [id, record] : records_) {
        if (record.phase != request_phase::ended)
            ids.push_back(id);
    }
    return ids;
}

void request_table::drop_old_bodies()
{
    while (body_bytes_ > settings_.max_body_bytes && !bodies_.empty()) {
        request_record* record = find(bodies_.front());
        bodies_.pop_front();
        if (record == nullptr || record->phase != request_phase::ended || record->result.body.empty())
            continue;
        body_bytes_ -= record->result.body.size();
        record->result.body.clear();
        // The target still has the result, which is fetched again if a caller asks for it.
        record->phase = request_phase::retained;
    }
}

} // namespace mjm
