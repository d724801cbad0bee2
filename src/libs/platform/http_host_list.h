#pragma once

#include "platform/host_list.h"
#include "platform/http_kv_store.h"

namespace mjm {

/// The platform's host list over HTTP. Callbacks run on `callbacks`, which must
/// outlive the client's `io_runtime`.
class http_host_list final : public host_list {
public:
    http_host_list(http_client& client, executor& callbacks, platform_endpoint service);

    void read(read_callback done) override;

private:
    http_client& client_;
    executor& callbacks_;
    const platform_endpoint service_;
};

} // namespace mjm
