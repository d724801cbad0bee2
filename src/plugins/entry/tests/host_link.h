#pragma once

#include "platform/host_list.h"
#include "platform/kv_store.h"
#include "platform/peer_client.h"
#include "platform/target_client.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace mjm {

/// What a test may watch of the calls of all hosts.
class fleet_observer {
public:
    fleet_observer() = default;
    fleet_observer(const fleet_observer&) = delete;
    fleet_observer& operator=(const fleet_observer&) = delete;
    virtual ~fleet_observer() = default;
    virtual void start_sent(const std::string& host, const target_id& target, const start_order& order) = 0;
    virtual void list_received(const std::string& host, const std::vector<listed_host>& listed) = 0;
};

/// Everything that arrives at one incarnation of a host: it waits while the host is paused, and is discarded
/// after the host's end.
class host_link {
public:
    host_link(std::string host, fleet_observer* const& observer) : host_{std::move(host)}, observer_{observer}
    {
    }

    void deliver(std::function<void()> message);
    void pause(bool on);
    void close();

    /// A callback that takes the first answer only, since a call that timed out may still be answered.
    template <typename Result>
    [[nodiscard]] static std::function<void(Result)> guard(const std::shared_ptr<host_link>& link,
                                                           std::function<void(Result)> done)
    {
        return [link, done = std::move(done), used = std::make_shared<bool>(false)](const Result& result) {
            if (std::exchange(*used, true))
                return;
            link->deliver([done, result] { done(result); });
        };
    }

    [[nodiscard]] bool up() const { return up_; }
    [[nodiscard]] bool paused() const { return paused_; }
    [[nodiscard]] const std::string& host() const { return host_; }
    [[nodiscard]] fleet_observer* observer() const { return observer_; }

private:
    std::string host_;
    fleet_observer* const& observer_;
    bool up_ = true;
    bool paused_ = false;
    std::vector<std::function<void()>> waiting_;
};

class linked_store final : public kv_store {
public:
    linked_store(std::shared_ptr<host_link> link, kv_store& inner) : link_{std::move(link)}, inner_{inner} {}

    void get(const std::string& key, store_revision known, get_callback done) override;
    void put(const kv_write& write, put_callback done) override;
    void erase(const std::string& key, std::optional<store_revision> expected, erase_callback done) override;
    void list(const std::string& prefix, list_callback done) override;
    void grant_lease(duration ttl, lease_callback done) override;
    void keep_alive(store_lease_id lease, erase_callback done) override;

private:
    std::shared_ptr<host_link> link_;
    kv_store& inner_;
};

class linked_targets final : public target_client {
public:
    linked_targets(std::shared_ptr<host_link> link, target_client& inner)
        : link_{std::move(link)}, inner_{inner}
    {
    }

    void challenge(const target_endpoint& target, challenge_callback done) override;
    void open_lease(const target_endpoint& target, const lease_token& token, const std::string& challenge,
                    duration ttl, lease_callback done) override;
    void renew(const target_endpoint& target, const lease_token& token, renew_callback done) override;
    void start(const target_endpoint& target, const lease_token& token, const start_order& order,
               result_callback done) override;
    void fetch(const target_endpoint& target, const task_id& task, result_callback done) override;
    void stop(const target_endpoint& target, const lease_token& token, const task_id& task,
              stop_callback done) override;

private:
    std::shared_ptr<host_link> link_;
    target_client& inner_;
};

class linked_peers final : public peer_client {
public:
    linked_peers(std::shared_ptr<host_link> link, peer_client& inner) : link_{std::move(link)}, inner_{inner}
    {
    }

    void forward(const peer_endpoint& peer, const forwarded_request& message, outcome_callback done) override;
    void cancel(const peer_endpoint& peer, const shard_id& shard, const request_id& request,
                outcome_callback done) override;
    void exchange_status(const peer_endpoint& peer, const std::string& message,
                         message_callback done) override;

private:
    std::shared_ptr<host_link> link_;
    peer_client& inner_;
};

class linked_host_list final : public host_list {
public:
    linked_host_list(std::shared_ptr<host_link> link, host_list& inner)
        : link_{std::move(link)}, inner_{inner}
    {
    }

    void read(read_callback done) override;

private:
    std::shared_ptr<host_link> link_;
    host_list& inner_;
};

} // namespace mjm
