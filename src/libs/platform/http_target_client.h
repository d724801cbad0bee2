#pragma once

#include "core/executor.h"
#include "net/http_client.h"
#include "platform/target_client.h"

#include <string>

namespace mjm {

struct http_target_client_settings {
    std::string client_name; ///< Sent as `x-client`, so that calls can be attributed.
    duration control_timeout{std::chrono::seconds{2}};
    /// For calls that wait for a task. A longer task is joined again by `fetch`.
    duration task_timeout{std::chrono::minutes{5}};
};

/// Calls to targets over HTTP. Callbacks run on `callbacks`, which must
/// outlive the client's `io_runtime`. A result is passed on only when its task,
/// length and digest match.
class http_target_client final : public target_client {
public:
    http_target_client(http_client& client, executor& callbacks, http_target_client_settings settings);

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
    template <typename Value, typename Decode>
    void call(const target_endpoint& target, http_request request, duration timeout,
              std::function<void(tl::expected<Value, target_errc>)> done, Decode decode);

    http_client& client_;
    executor& callbacks_;
    const http_target_client_settings settings_;
};

} // namespace mjm
