#pragma once

#include "configuration/config_commit.h"
#include "configuration/config_progress.h"
#include "configuration/config_replica.h"
#include "configuration/key_freshness.h"
#include "net/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace mjm {

struct admin_settings {
    /// Secret that permits creating the first configuration, before there are keys; empty forbids it.
    std::string bootstrap_token;
    /// A call whose outcome is not known by then is answered `pending` (202); it goes on.
    duration answer_within{std::chrono::seconds{10}};
    std::size_t max_history = 1000;
};

/// The operators' HTTP API below `/admin/v1`; docs/admin-api.md lists paths, bodies and errors. Runs on the
/// thread that drives the configuration.
class admin_api {
public:
    using responder = std::function<void(http_response)>;

    admin_api(config_commit& commit, const config_replica& replica, const config_progress& progress,
              const key_freshness& freshness, const admin_settings& settings);
    ~admin_api();
    admin_api(const admin_api&) = delete;
    admin_api& operator=(const admin_api&) = delete;

    /// Answers once through `respond`, from within the call or later.
    void handle(const http_request& request, timestamp now, wall_time wall, responder respond);
    /// Answers calls that have waited too long.
    void tick(timestamp now);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
