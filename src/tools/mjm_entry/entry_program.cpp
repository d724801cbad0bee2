#include "entry_program.h"

#include "core/invariant.h"
#include "decision_service.h"
#include "kernel/kernel.h"
#include "kernel/program_options.h"
#include "kernel/signal_drain.h"
#include "listening/io_service.h"
#include "listening/listener_service.h"
#include "logging/log_sink.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace mjm {

namespace {

constexpr std::chrono::milliseconds drain_poll{50};

/// Lets the main thread wait for the end that a signal or a finished drain brings about.
class end_signal {
public:
    void set()
    {
        {
            const std::lock_guard lock{mutex_};
            set_ = true;
        }
        changed_.notify_all();
    }
    /// Returns true when the end was signalled within `timeout`.
    [[nodiscard]] bool wait_for(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock{mutex_};
        return changed_.wait_for(lock, timeout, [this] { return set_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool set_ = false;
};

http_server_settings listener(const entry_program_settings& settings, std::uint16_t port)
{
    http_server_settings result;
    result.address = settings.address;
    result.port = port;
    result.max_connections = settings.max_caller_connections;
    return result;
}

} // namespace

int run_entry(const entry_program_settings& settings)
{
    const system_clock_source time;
    log_sink sink{settings.log, time};
    const logger log{sink, "entry"};
    metric_registry metrics;
    set_invariant_handler([&log](invariant which, const std::string& detail) {
        log.error("invariant_violated", {{"invariant", name_of(which)}, {"detail", detail}});
    });

    kernel services;
    std::unique_ptr<decision_service> owned =
        std::make_unique<decision_service>(settings, time, log, metrics);
    decision_service& decisions = *owned;
    const auto forward_to =
        [&decisions](void (decision_service::*handler)(http_request, const http_server::responder&)) {
            return [&decisions, handler](http_request request, const http_server::responder& respond) {
                (decisions.*handler)(std::move(request), respond);
            };
        };
    std::unique_ptr<listener_service> callers = std::make_unique<listener_service>(
        listener(settings, settings.caller_port), forward_to(&decision_service::on_caller));
    listener_service& caller_listener = *callers;
    tl::expected<void, kernel_error> result = services.add("io", {}, std::make_unique<io_service>());
    if (result)
        result = services.add("decisions", {"io"}, std::move(owned));
    if (result)
        result = services.add("peer_api", {"io", "decisions"},
                              std::make_unique<listener_service>(listener(settings, settings.peer_port),
                                                                 forward_to(&decision_service::on_peer)));
    if (result)
        result = services.add("admin_api", {"io", "decisions"},
                              std::make_unique<listener_service>(listener(settings, settings.admin_port),
                                                                 forward_to(&decision_service::on_operator)));
    if (result)
        result = services.add("caller_api", {"io", "decisions"}, std::move(callers));
    if (result)
        result = services.start();
    if (!result) {
        log.error("start_failed", {{"service", result.error().service}, {"detail", result.error().detail}});
        return exit_runtime_failure;
    }

    end_signal end;
    {
        const signal_drain signals{settings.drain_deadline,
                                   [&] {
                                       decisions.drain();
                                       caller_listener.drain();
                                   },
                                   [&end](drain_end) { end.set(); }};
        while (!end.wait_for(drain_poll) && !decisions.drained()) {
        }
    }
    // Answers handed to the network thread are written before the listeners close.
    std::this_thread::sleep_for(drain_poll);
    services.stop();
    set_invariant_handler({});
    return exit_success;
}

} // namespace mjm
