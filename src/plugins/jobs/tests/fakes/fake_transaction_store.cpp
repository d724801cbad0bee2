#include "fake_transaction_store.h"

#include <algorithm>

namespace mjm {

namespace {

constexpr std::chrono::milliseconds latency{4};
constexpr std::chrono::milliseconds call_timeout{900};
constexpr std::chrono::milliseconds poll_interval{5};

} // namespace

tl::expected<store_revision, transaction_error> fake_transaction_store::commit(const store_transaction& t)
{
    expire();
    transaction_error error{store_errc::conflict, {}};
    bool holds = true;
    for (const auto& [key, revision] : t.expected) {
        const auto it = records_.find(key);
        const store_revision actual = it == records_.end() ? 0 : it->second.revision;
        holds = holds && actual == revision;
        if (it != records_.end())
            error.current.push_back({key, it->second.value, it->second.revision});
    }
    if (!holds)
        return tl::unexpected{error};
    for (const kv_write& w : t.writes) {
        if (w.lease != 0 && !leases_.contains(w.lease))
            return tl::unexpected{transaction_error{store_errc::not_found, {}}};
    }
    ++revision_;
    for (const kv_write& w : t.writes) {
        records_[w.key] = {w.value, revision_, w.lease};
        history_.push_back({{w.key, w.value, revision_}, false});
    }
    for (const std::string& key : t.removals)
        remove_at(key);
    return revision_;
}

void fake_transaction_store::put(const std::string& key, const std::string& value)
{
    store_transaction t;
    t.writes.push_back({key, value, std::nullopt, 0});
    static_cast<void>(commit(t));
}

void fake_transaction_store::remove(const std::string& key)
{
    ++revision_;
    remove_at(key);
}

void fake_transaction_store::remove_at(const std::string& key)
{
    if (records_.erase(key) > 0)
        history_.push_back({{key, {}, revision_}, true});
}

const fake_transaction_store::record* fake_transaction_store::find(const std::string& key)
{
    expire();
    const auto it = records_.find(key);
    return it == records_.end() ? nullptr : &it->second;
}

std::vector<kv_entry> fake_transaction_store::list(const std::string& prefix)
{
    expire();
    std::vector<kv_entry> out;
    for (auto it = records_.lower_bound(prefix); it != records_.end() && it->first.starts_with(prefix); ++it)
        out.push_back({it->first, it->second.value, it->second.revision});
    return out;
}

store_changes fake_transaction_store::changes(const std::string& prefix, store_revision after,
                                              std::size_t most) const
{
    store_changes out;
    out.revision = revision_;
    auto it = std::upper_bound(
        history_.begin(), history_.end(), after,
        [](store_revision r, const store_change& change) { return r < change.entry.revision; });
    for (; it != history_.end(); ++it) {
        if (!it->entry.key.starts_with(prefix))
            continue;
        if (out.changes.size() >= most && it->entry.revision != out.changes.back().entry.revision) {
            out.revision = out.changes.back().entry.revision;
            break;
        }
        out.changes.push_back(*it);
    }
    return out;
}

store_lease_id fake_transaction_store::grant(duration ttl)
{
    leases_[++last_lease_] = {ttl, loop_.time().now() + ttl};
    return last_lease_;
}

bool fake_transaction_store::renew(store_lease_id id)
{
    expire();
    const auto it = leases_.find(id);
    if (it == leases_.end())
        return false;
    it->second.ends = loop_.time().now() + it->second.ttl;
    return true;
}

void fake_transaction_store::end(store_lease_id id)
{
    const auto it = leases_.find(id);
    if (it != leases_.end())
        it->second.ends = loop_.time().now();
    expire();
}

void fake_transaction_store::expire()
{
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.ends > loop_.time().now()) {
            ++it;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, r] : records_) {
            if (r.lease == it->first)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            remove(key);
        it = leases_.erase(it);
    }
}

void fake_store_link::handle_later(duration delay, std::function<void()> handle)
{
    if (delay == duration{0}) {
        handle();
        return;
    }
    late_until = std::max(late_until, loop_.time().now() + delay);
    loop_.after(delay, std::move(handle));
}

template <typename Callback, typename Effect>
void fake_store_link::answer(Callback done, Effect effect)
{
    if (!reachable) {
        loop_.after(call_timeout, [done] { done(tl::unexpected{store_errc::timed_out}); });
        return;
    }
    loop_.after(latency, [this, done, effect] {
        handle_later(answer_delay, [done, result = effect()] { done(result); });
    });
}

void fake_store_link::get(const std::string& key, get_callback done)
{
    answer(std::move(done), [this, key]() -> tl::expected<kv_entry, store_errc> {
        const fake_transaction_store::record* r = store_.find(key);
        if (r == nullptr)
            return tl::unexpected{store_errc::not_found};
        return kv_entry{key, r->value, r->revision};
    });
}

void fake_store_link::list(const std::string& prefix, const std::string& after, page_callback done)
{
    constexpr std::size_t page_size = 3; // Small, so that tests read several pages.
    const page_callback noted = [this, done = std::move(done), sent_at = loop_.time().now()](
                                    const tl::expected<store_page, store_errc>& page) {
        if (page)
            history_.add(sent_at, page->revision);
        done(page);
    };
    answer(noted, [this, prefix, after]() -> tl::expected<store_page, store_errc> {
        store_page page;
        page.revision = store_.revision();
        for (const kv_entry& e : store_.list(prefix)) {
            if (e.key <= after)
                continue;
            if (page.entries.size() == page_size) {
                page.more = true;
                break;
            }
            page.entries.push_back(e);
        }
        return page;
    });
}

void fake_store_link::watch(const std::string& prefix, store_revision after, duration wait,
                            watch_callback done)
{
    ++watches;
    if (!reachable) {
        loop_.after(wait + call_timeout, [done] { done(tl::unexpected{store_errc::timed_out}); });
        return;
    }
    poll(prefix, after, loop_.time().now() + wait, done);
}

void fake_store_link::poll(const std::string& prefix, store_revision after, timestamp until,
                           const watch_callback& done)
{
    loop_.after(poll_interval, [this, prefix, after, until, done] {
        store_.expire();
        if (after < store_.oldest()) {
            done(tl::unexpected{store_errc::not_found});
            return;
        }
        if (watches_stuck) {
            poll(prefix, after, until, done);
            return;
        }
        store_changes changes = store_.changes(prefix, after, most_changes);
        if (!changes.changes.empty() || loop_.time().now() >= until)
            handle_later(watch_delay, [done, changes = std::move(changes)] { done(changes); });
        else
            poll(prefix, after, until, done);
    });
}

void fake_store_link::commit(store_transaction transaction, commit_callback done)
{
    ++commits;
    if (!reachable) {
        loop_.after(call_timeout, [done] {
            done(tl::unexpected{transaction_error{store_errc::timed_out, {}}});
        });
        return;
    }
    const bool lost = lost_commits > 0;
    const bool late = late_commits > 0;
    if (lost || late) {
        (lost ? lost_commits : late_commits) -= 1;
        loop_.after(lost ? duration{latency} : late_by,
                    [this, transaction] { static_cast<void>(store_.commit(transaction)); });
        loop_.after(call_timeout, [done] {
            done(tl::unexpected{transaction_error{store_errc::timed_out, {}}});
        });
        return;
    }
    loop_.after(latency, [this, transaction, done, sent_at = loop_.time().now()] {
        handle_later(answer_delay, [this, sent_at, done, result = store_.commit(transaction)] {
            if (result)
                history_.add(sent_at, *result);
            done(result);
        });
    });
}

void fake_store_link::grant_lease(duration ttl, lease_callback done)
{
    answer(std::move(done),
           [this, ttl]() -> tl::expected<store_lease_id, store_errc> { return store_.grant(ttl); });
}

void fake_store_link::renew_lease(store_lease_id lease, done_callback done)
{
    answer(std::move(done), [this, lease]() -> tl::expected<void, store_errc> {
        if (!store_.renew(lease))
            return tl::unexpected{store_errc::not_found};
        return {};
    });
}

void fake_store_link::end_lease(store_lease_id lease, done_callback done)
{
    answer(std::move(done), [this, lease]() -> tl::expected<void, store_errc> {
        store_.end(lease);
        return {};
    });
}

} // namespace mjm
