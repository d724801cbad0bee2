#include "listening/listener_service.h"

#include "kernel/kernel.h"
#include "listening/io_service.h"

#include <chrono>
#include <thread>

namespace mjm {

namespace {

constexpr std::chrono::milliseconds retry_interval{50};

} // namespace

listener_service::listener_service(http_server_settings settings, http_server::handler on_request,
                                   listen_policy policy)
    : settings_{std::move(settings)}, on_request_{std::move(on_request)}, policy_{policy}
{
}

tl::expected<void, start_failure> listener_service::start(const kernel& services)
{
    const tl::expected<io_service*, lookup_errc> io = services.find<io_service>("io");
    if (!io)
        return tl::unexpected{start_failure{"no network thread"}};
    server_ = std::make_unique<http_server>((*io)->runtime(), settings_, on_request_);
    const tl::expected<std::uint16_t, listen_errc> port = listen();
    if (port)
        return {};
    const char* why = port.error() == listen_errc::address_in_use ? "address in use" : "cannot listen";
    server_.reset();
    failure_ = settings_.address + ":" + std::to_string(settings_.port) + ": " + why;
    if (policy_.required)
        return tl::unexpected{start_failure{failure_}};
    return {};
}

tl::expected<std::uint16_t, listen_errc> listener_service::listen()
{
    const std::chrono::steady_clock::time_point until =
        std::chrono::steady_clock::now() + policy_.address_wait;
    for (;;) {
        tl::expected<std::uint16_t, listen_errc> port = server_->listen();
        if (port || port.error() != listen_errc::address_in_use || std::chrono::steady_clock::now() >= until)
            return port;
        std::this_thread::sleep_for(retry_interval);
    }
}

void listener_service::stop() noexcept
{
    if (server_)
        server_->stop();
}

void listener_service::drain()
{
    if (server_)
        server_->drain();
}

} // namespace mjm
