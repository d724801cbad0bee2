#pragma once

#include "net/http_server.h"

#include <cstdint>
#include <memory>
#include <string>

namespace mjm {

class io_runtime;

struct platform_service_settings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;       ///< Of the service itself; 0 picks a free port.
    std::uint16_t admin_port = 0; ///< Of the fault injection and counters.
    std::uint64_t seed = 1;       ///< Of the fault injection.
};

struct platform_ports {
    std::uint16_t service = 0;
    std::uint16_t admin = 0;
};

/// Stand-in for the platform's key-value service and host list, as described in docs/protocols.md.
class platform_service {
public:
    platform_service(io_runtime& runtime, const platform_service_settings& settings);
    ~platform_service();
    platform_service(const platform_service&) = delete;
    platform_service& operator=(const platform_service&) = delete;

    [[nodiscard]] tl::expected<platform_ports, listen_errc> listen();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
