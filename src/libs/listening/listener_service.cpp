#include "listening/listener_service.h"

#include "kernel/kernel.h"
#include "listening/io_service.h"

namespace mjm {

listener_service::listener_service(http_server_settings settings, http_server::handler on_request)
    : settings_{std::move(settings)}, on_request_{std::move(on_request)}
{
}

tl::expected<void, start_failure> listener_service::start(const kernel& services)
{
    const tl::expected<io_service*, lookup_errc> io = services.find<io_service>("io");
    if (!io)
        return tl::unexpected{start_failure{"no network thread"}};
    server_ = std::make_unique<http_server>((*io)->runtime(), settings_, on_request_);
    const tl::expected<std::uint16_t, listen_errc> port = server_->listen();
    if (!port) {
        const char* why = port.error() == listen_errc::address_in_use ? "address in use" : "cannot listen";
        server_.reset();
        return tl::unexpected{
            start_failure{settings_.address + ":" + std::to_string(settings_.port) + ": " + why}};
    }
    return {};
}

void listener_service::stop() noexcept
{
    server_->stop();
}

void listener_service::drain()
{
    server_->drain();
}

} // namespace mjm
