#pragma once

#include "kernel/service.h"
#include "net/http_server.h"

#include <cstdint>
#include <memory>
#include <string>

namespace mjm {

struct listen_policy {
    /// Time for which an address is tried again that is in use, as by a former process that is ending.
    duration address_wait{0};
    bool required = true; ///< Otherwise the program starts without the listener; `failure` tells why.
};

/// One listening port whose requests go to the decision thread.
class listener_service final : public service {
public:
    listener_service(http_server_settings settings, http_server::handler on_request,
                     listen_policy policy = {});

    tl::expected<void, start_failure> start(const kernel& services) override;
    void stop() noexcept override;
    void drain();
    /// Returns why the port could not be opened; empty if it is open.
    [[nodiscard]] const std::string& failure() const { return failure_; }

private:
    [[nodiscard]] tl::expected<std::uint16_t, listen_errc> listen();

    http_server_settings settings_;
    http_server::handler on_request_;
    listen_policy policy_;
    std::string failure_;
    std::unique_ptr<http_server> server_;
};

} // namespace mjm
