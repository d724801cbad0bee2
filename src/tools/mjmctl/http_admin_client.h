#pragma once

#include "admin_client.h"
#include "net/http_client.h"
#include "net/io_runtime.h"

#include <memory>
#include <vector>

namespace mjm {

/// `admin_client` over HTTP. The key is sent to paths below `/admin/` only.
class http_admin_client final : public admin_client {
public:
    http_admin_client(std::vector<http_endpoint> servers, std::string key, duration timeout);
    ~http_admin_client() override;

    [[nodiscard]] std::size_t server_count() const override { return servers_.size(); }
    [[nodiscard]] std::string server_name(std::size_t server) const override;
    [[nodiscard]] tl::expected<admin_answer, send_failure> send(std::size_t server,
                                                                const admin_call& call) override;

private:
    std::vector<http_endpoint> servers_;
    std::string key_;
    duration timeout_;
    io_runtime runtime_;
    std::unique_ptr<http_client> client_;
};

} // namespace mjm
