#include "share_simulation.h"
#include "statistics.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace mjm;
using namespace mjm::bench;

// Guards against a wrong reference, from which every distance would be measured wrongly.
TEST_CASE("max-min fair division caps at the demand and divides the rest by weight")
{
    const std::vector<double> part = max_min_fair({1.0, 10.0, 10.0}, {1.0, 1.0, 2.0}, 10.0);
    CHECK(part[0] == Approx(1.0));
    CHECK(part[1] == Approx(3.0));
    CHECK(part[2] == Approx(6.0));
}

// Guards against slopes that are off by their base or sign.
TEST_CASE("the fitted exponent of a power law is its exponent")
{
    CHECK(fitted_exponent({1, 10, 100}, {3, 30, 300}) == Approx(1.0));
    CHECK(fitted_exponent({1, 10, 100}, {5, 5, 5}) == Approx(0.0).margin(1e-9));
    CHECK(quantile({4, 1, 3, 2}, 0.5) == 2.0);
}

// Guards against demand that does not have the stated mean or that differs between replays.
TEST_CASE("recorded demand offers the stated load and repeats for its seed")
{
    const deployment where = consortium(demand_shape::proportional);
    const demand_settings settings;
    const std::vector<arrival> demand = record_demand(where, settings, 3);
    double offered = 0.0;
    for (const arrival& it : demand)
        offered += static_cast<double>(it.slots) * std::chrono::duration<double>(it.run).count();
    const double capacity = static_cast<double>(where.total_slots()) * 1800.0;
    CHECK(offered / capacity == Approx(settings.mean_load).epsilon(0.1));
    CHECK(record_demand(where, settings, 3).size() == demand.size());
}

// Guards against requests lost in the simulation, which would flatter a discipline.
TEST_CASE("the simulation accounts for every arrival under each discipline")
{
    const deployment where = pilhas(demand_shape::skewed);
    demand_settings settings;
    settings.length = std::chrono::minutes{10};
    std::vector<arrival> demand = record_demand(where, settings, 2);
    // Nothing arrives in the last two timeouts, so that each request has started or expired by the end.
    std::erase_if(demand, [&](const arrival& it) {
        return it.at > timestamp{} + settings.length - 2 * settings.timeout;
    });
    for (const auto& [kind, name] : enum_names<discipline_kind>::entries) {
        const share_result r = simulate_shares(where, settings, demand, kind);
        CAPTURE(std::string{name});
        CHECK(r.started + r.expired + r.refused == demand.size());
        CHECK(r.utilisation > 0.0);
        CHECK(r.utilisation <= 1.0);
    }
}
