#pragma once

#include "net/http_server.h"
#include "target_model.h"

#include <cstdint>
#include <memory>
#include <string>

namespace mjm {

class io_runtime;

struct target_service_settings {
    target_id id;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 picks a free port.
    target_model_settings model;
    std::uint64_t seed = 1; ///< Of the fault injection.
};

/// One stand-in target with its admin path, as described in docs/protocols.md.
class target_service {
public:
    target_service(io_runtime& runtime, const target_service_settings& settings);
    ~target_service();
    target_service(const target_service&) = delete;
    target_service& operator=(const target_service&) = delete;

    [[nodiscard]] tl::expected<std::uint16_t, listen_errc> listen();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
