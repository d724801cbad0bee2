#include "host_link.h"

namespace mjm {

void host_link::deliver(std::function<void()> message)
{
    if (!up_)
        return;
    if (paused_)
        waiting_.push_back(std::move(message));
    else
        message();
}

void host_link::pause(bool on)
{
    paused_ = on;
    if (on)
        return;
    const std::vector<std::function<void()>> arrived = std::exchange(waiting_, {});
    for (const std::function<void()>& message : arrived)
        message();
}

void host_link::close()
{
    up_ = false;
    waiting_.clear();
}

void linked_store::get(const std::string& key, store_revision known, get_callback done)
{
    inner_.get(key, known, host_link::guard<tl::expected<kv_read, store_errc>>(link_, std::move(done)));
}

void linked_store::put(const kv_write& write, put_callback done)
{
    inner_.put(write, host_link::guard<tl::expected<store_revision, store_errc>>(link_, std::move(done)));
}

void linked_store::erase(const std::string& key, std::optional<store_revision> expected, erase_callback done)
{
    inner_.erase(key, expected, host_link::guard<tl::expected<void, store_errc>>(link_, std::move(done)));
}

void linked_store::list(const std::string& prefix, list_callback done)
{
    inner_.list(prefix,
                host_link::guard<tl::expected<std::vector<kv_entry>, store_errc>>(link_, std::move(done)));
}

void linked_store::grant_lease(duration ttl, lease_callback done)
{
    inner_.grant_lease(ttl,
                       host_link::guard<tl::expected<store_lease_id, store_errc>>(link_, std::move(done)));
}

void linked_store::keep_alive(store_lease_id lease, erase_callback done)
{
    inner_.keep_alive(lease, host_link::guard<tl::expected<void, store_errc>>(link_, std::move(done)));
}

void linked_targets::challenge(const target_endpoint& target, challenge_callback done)
{
    inner_.challenge(target,
                     host_link::guard<tl::expected<target_challenge, target_errc>>(link_, std::move(done)));
}

void linked_targets::open_lease(const target_endpoint& target, const lease_token& token,
                                const std::string& challenge, duration ttl, lease_callback done)
{
    inner_.open_lease(target, token, challenge, ttl,
                      host_link::guard<tl::expected<lease_grant, target_errc>>(link_, std::move(done)));
}

void linked_targets::renew(const target_endpoint& target, const lease_token& token, renew_callback done)
{
    inner_.renew(target, token,
                 host_link::guard<tl::expected<usage_report, target_errc>>(link_, std::move(done)));
}

void linked_targets::start(const target_endpoint& target, const lease_token& token, const start_order& order,
                           result_callback done)
{
    if (link_->observer() != nullptr)
        link_->observer()->start_sent(link_->host(), target.id, order);
    inner_.start(target, token, order,
                 host_link::guard<tl::expected<task_result, target_errc>>(link_, std::move(done)));
}

void linked_targets::fetch(const target_endpoint& target, const task_id& task, result_callback done)
{
    inner_.fetch(target, task,
                 host_link::guard<tl::expected<task_result, target_errc>>(link_, std::move(done)));
}

void linked_targets::stop(const target_endpoint& target, const lease_token& token, const task_id& task,
                          stop_callback done)
{
    inner_.stop(target, token, task,
                host_link::guard<tl::expected<task_state, target_errc>>(link_, std::move(done)));
}

void linked_peers::forward(const peer_endpoint& peer, const forwarded_request& message, outcome_callback done)
{
    inner_.forward(peer, message, host_link::guard<tl::expected<outcome, peer_errc>>(link_, std::move(done)));
}

void linked_peers::cancel(const peer_endpoint& peer, const shard_id& shard, const request_id& request,
                          outcome_callback done)
{
    inner_.cancel(peer, shard, request,
                  host_link::guard<tl::expected<outcome, peer_errc>>(link_, std::move(done)));
}

void linked_peers::exchange_status(const peer_endpoint& peer, const std::string& message,
                                   message_callback done)
{
    inner_.exchange_status(peer, message,
                           host_link::guard<tl::expected<std::string, peer_errc>>(link_, std::move(done)));
}

void linked_host_list::read(read_callback done)
{
    using result = tl::expected<std::vector<listed_host>, store_errc>;
    inner_.read(host_link::guard<result>(link_, [link = link_, done = std::move(done)](const result& listed) {
        if (listed && link->observer() != nullptr)
            link->observer()->list_received(link->host(), *listed);
        done(listed);
    }));
}

} // namespace mjm
