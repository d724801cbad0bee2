#include "admin_session.h"

namespace mjm {

tl::expected<admin_answer, send_failure> admin_session::send(const admin_call& call)
{
    const std::size_t count = client_.server_count();
    tl::expected<admin_answer, send_failure> last = tl::unexpected{send_failure::not_sent};
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t server = (preferred_ + i) % count;
        tl::expected<admin_answer, send_failure> result = client_.send(server, call);
        if (result && !result->unavailable()) {
            preferred_ = server;
            return result;
        }
        if (!result && result.error() == send_failure::lost && call.method != "GET") {
            // The next call, which asks for the outcome, goes to another server first.
            preferred_ = (server + 1) % count;
            return result;
        }
        // An answer tells more than an unreachable server.
        if (result || !last)
            last = std::move(result);
    }
    return last;
}

} // namespace mjm
