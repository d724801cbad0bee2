#pragma once

#include "call_pump.h"
#include "platform/peer_client.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace mjm {

/// Calls between entry hosts of a test, driven by a `call_pump`. Each host registers handlers; a partition
/// blocks a pair of hosts in both directions. Message labels: `forward FROM TO REQUEST`,
/// `cancel FROM TO REQUEST`, `status FROM TO`. Losing a message reports `timed_out`.
class fake_peer_network {
public:
    /// Answers of one host; a handler may answer at once or later.
    struct handlers {
        std::function<void(const forwarded_request&, std::function<void(outcome)>)> forward;
        std::function<void(const shard_id&, const request_id&, std::function<void(outcome)>)> cancel;
        std::function<std::string(const std::string&)> status;
    };

    explicit fake_peer_network(call_pump& pump) : pump_{pump} {}

    void set_host(const host_id& host, handlers h) { hosts_[host] = std::move(h); }
    void remove_host(const host_id& host) { hosts_.erase(host); }
    void set_partitioned(const host_id& a, const host_id& b, bool on);

private:
    friend class fake_peer_client;

    [[nodiscard]] bool reachable(const host_id& from, const host_id& to) const;
    template <typename Result>
    void call(const std::string& label, const host_id& from, const host_id& to,
              std::function<void(tl::expected<Result, peer_errc>)> done,
              std::function<void(handlers&, std::function<void(Result)>)> effect);

    call_pump& pump_;
    std::map<host_id, handlers> hosts_;
    std::set<std::pair<host_id, host_id>> partitions_;
};

/// The `peer_client` of one host in a `fake_peer_network`.
class fake_peer_client final : public peer_client {
public:
    fake_peer_client(fake_peer_network& network, host_id self) : network_{network}, self_{std::move(self)} {}

    void forward(const peer_endpoint& peer, const forwarded_request& message, outcome_callback done) override;
    void cancel(const peer_endpoint& peer, const shard_id& shard, const request_id& request,
                outcome_callback done) override;
    void exchange_status(const peer_endpoint& peer, const std::string& message,
                         message_callback done) override;

private:
    fake_peer_network& network_;
    host_id self_;
};

} // namespace mjm
