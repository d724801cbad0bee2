#pragma once

#include "kernel/service.h"
#include "net/http_server.h"

#include <functional>
#include <memory>

namespace mjm {

/// One listening port whose requests go to the decision thread.
class listener_service final : public service {
public:
    listener_service(http_server_settings settings, http_server::handler on_request);

    tl::expected<void, start_failure> start(const kernel& services) override;
    void stop() noexcept override;
    void drain();

private:
    http_server_settings settings_;
    http_server::handler on_request_;
    std::unique_ptr<http_server> server_;
};

} // namespace mjm
