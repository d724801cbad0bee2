#pragma once

#include "admin_client.h"
#include "wait_clock.h"

#include <deque>
#include <utility>
#include <vector>

namespace mjm::test {

/// Answers in the order in which the test prepared them, and keeps the calls. Without a prepared answer
/// nothing is sent.
class fake_admin_client final : public admin_client {
public:
    explicit fake_admin_client(std::size_t servers = 1) : servers_{servers} {}

    void answer(int status, const nlohmann::json& body)
    {
        prepared_.emplace_back(decode_answer(status, body.dump()).value());
    }
    void fail(send_failure failure) { prepared_.emplace_back(tl::unexpected{failure}); }

    [[nodiscard]] std::size_t server_count() const override { return servers_; }
    [[nodiscard]] std::string server_name(std::size_t server) const override
    {
        return "server" + std::to_string(server);
    }
    [[nodiscard]] tl::expected<admin_answer, send_failure> send(std::size_t server,
                                                                const admin_call& call) override
    {
        calls.emplace_back(server, call);
        if (prepared_.empty())
            return tl::unexpected{send_failure::not_sent};
        tl::expected<admin_answer, send_failure> next = std::move(prepared_.front());
        prepared_.pop_front();
        return next;
    }
    /// Method and path of a call.
    [[nodiscard]] std::string call_line(std::size_t n) const
    {
        return calls.at(n).second.method + " " + calls.at(n).second.path;
    }

    std::vector<std::pair<std::size_t, admin_call>> calls;

private:
    std::size_t servers_;
    std::deque<tl::expected<admin_answer, send_failure>> prepared_;
};

} // namespace mjm::test
