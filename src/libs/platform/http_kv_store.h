#pragma once

#include "core/executor.h"
#include "net/http_client.h"
#include "platform/kv_store.h"

#include <string>

namespace mjm {

struct platform_endpoint {
    http_endpoint endpoint;
    std::string client_name; ///< Sent as `x-client`, so that calls can be attributed.
    duration timeout{std::chrono::seconds{2}};
};

/// The platform's key-value service over HTTP. Callbacks run on `callbacks`, which must
/// outlive the client's `io_runtime`.
class http_kv_store final : public kv_store {
public:
    http_kv_store(http_client& client, executor& callbacks, platform_endpoint service);

    void get(const std::string& key, store_revision known, get_callback done) override;
    void put(const kv_write& write, put_callback done) override;
    void erase(const std::string& key, std::optional<store_revision> expected, erase_callback done) override;
    void list(const std::string& prefix, list_callback done) override;
    void grant_lease(duration ttl, lease_callback done) override;
    void keep_alive(store_lease_id lease, erase_callback done) override;

private:
    template <typename Value, typename Decode>
    void call(http_request request, std::function<void(tl::expected<Value, store_errc>)> done, Decode decode);

    http_client& client_;
    executor& callbacks_;
    const platform_endpoint service_;
};

} // namespace mjm
