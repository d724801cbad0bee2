#include "load_overhead.h"

#include "blocking_http.h"
#include "core/clock.h"
#include "core/executor.h"
#include "kernel/program_options.h"
#include "load_report.h"
#include "platform/http_target_client.h"

#include <nlohmann/json.hpp>

#include <future>
#include <iostream>
#include <memory>
#include <optional>

namespace mjm {

namespace {

using nlohmann::json;

constexpr duration lease_ttl{std::chrono::minutes{10}};
constexpr std::size_t warm_up = 20; // Connections are opened and estimates are learned.

class direct_executor final : public executor {
public:
    void post(std::function<void()> work) override { work(); }
};

template <typename Result, typename Call>
Result wait_for(Call call)
{
    const std::shared_ptr<std::promise<Result>> answer = std::make_shared<std::promise<Result>>();
    std::future<Result> waiting = answer->get_future();
    call([answer](const Result& result) { answer->set_value(result); });
    return waiting.get();
}

class overhead_measurement {
public:
    explicit overhead_measurement(const overhead_settings& settings)
        : settings_{settings}, targets_{http_.client(), replies_, http_target_client_settings{"mjm_load"}},
          endpoint_{settings.target_name, settings.target.address, settings.target.port}
    {
        token_.shard = shard_id{settings.plan.services.front(), zone_id{"direct"}};
        token_.assignment = 1;
        token_.epoch = 1;
    }

    int run()
    {
        if (!open_lease()) {
            std::cerr << "no lease at the target\n";
            return exit_runtime_failure;
        }
        for (std::size_t i = 0; i < settings_.requests + warm_up; ++i) {
            const std::string payload =
                json{{"run_ms", settings_.run_ms},
                     {"echo", {{"number", i}, {"text", std::string(settings_.echo_bytes, 'x')}}}}
                    .dump();
            const std::optional<double> direct = send_direct(i, payload);
            const std::optional<double> through = send_through(payload);
            if (!direct || !through) {
                std::cerr << (direct ? "entry host" : "target") << ": request " << i
                          << " failed: " << failure_ << '\n';
                return exit_runtime_failure;
            }
            if (i < warm_up)
                continue;
            direct_us_.push_back(*direct);
            through_us_.push_back(*through);
        }
        report();
        return exit_success;
    }

private:
    [[nodiscard]] bool open_lease()
    {
        using challenge_result = tl::expected<target_challenge, target_errc>;
        const challenge_result challenge = wait_for<challenge_result>(
            [this](const target_client::challenge_callback& done) { targets_.challenge(endpoint_, done); });
        if (!challenge)
            return false;
        token_.boot_id = challenge->boot_id;
        using lease_result = tl::expected<lease_grant, target_errc>;
        return wait_for<lease_result>([&](const target_client::lease_callback& done) {
                   targets_.open_lease(endpoint_, token_, challenge->challenge, lease_ttl, done);
               })
            .has_value();
    }

    [[nodiscard]] std::optional<double> send_direct(std::size_t number, const std::string& payload)
    {
        start_order order;
        order.task = task_id{"direct-" + std::to_string(number)};
        order.request = request_id{order.task.str()};
        order.team = settings_.plan.teams.front().id;
        order.service = settings_.plan.services.front();
        order.reserved = resources{0, 0, 0, 1};
        order.body = payload;
        using result = tl::expected<task_result, target_errc>;
        const timestamp begin = time_.now();
        const result answer = wait_for<result>([&](const target_client::result_callback& done) {
            targets_.start(endpoint_, token_, order, done);
        });
        const duration taken = time_.now() - begin;
        if (!answer) {
            failure_ = std::string{name_of(answer.error())};
            return std::nullopt;
        }
        return static_cast<double>(taken.count());
    }

    [[nodiscard]] std::optional<double> send_through(const std::string& payload)
    {
        http_request request;
        request.method = "POST";
        request.path = "/v1/services/" + settings_.plan.services.front().str() + "/requests";
        request.headers["authorization"] = "Bearer " + settings_.plan.teams.front().key;
        request.body = json{{"idempotent", true}, {"payload", payload}}.dump();
        const timestamp begin = time_.now();
        const tl::expected<http_response, http_errc> answer = http_.call(settings_.entry, std::move(request));
        const duration taken = time_.now() - begin;
        if (!answer || answer->status != 200) {
            failure_ = answer ? answer->body : "no answer";
            return std::nullopt;
        }
        return static_cast<double>(taken.count());
    }

    void report()
    {
        const double direct_median = quantile(direct_us_, 0.5);
        const double direct_p99 = quantile(direct_us_, 0.99);
        const double through_median = quantile(through_us_, 0.5);
        const double through_p99 = quantile(through_us_, 0.99);
        const json figures{
            {"requests", direct_us_.size()},        {"direct_median_us", direct_median},
            {"direct_p99_us", direct_p99},          {"entry_median_us", through_median},
            {"entry_p99_us", through_p99},          {"ratio_median", through_median / direct_median},
            {"ratio_p99", through_p99 / direct_p99}};
        if (settings_.json)
            std::cout << figures.dump(2) << '\n';
        else
            std::cout << "requests " << direct_us_.size() << "\ndirect: median " << direct_median
                      << " us, 99% " << direct_p99 << " us\nthrough the entry host: median " << through_median
                      << " us, 99% " << through_p99 << " us\nratio: median " << through_median / direct_median
                      << ", 99% " << through_p99 / direct_p99 << '\n';
    }

    const overhead_settings settings_;
    const system_clock_source time_;
    direct_executor replies_;
    blocking_http http_;
    http_target_client targets_;
    target_endpoint endpoint_;
    lease_token token_;
    std::vector<double> direct_us_;
    std::vector<double> through_us_;
    std::string failure_;
};

} // namespace

int measure_overhead(const overhead_settings& settings)
{
    return overhead_measurement{settings}.run();
}

} // namespace mjm
