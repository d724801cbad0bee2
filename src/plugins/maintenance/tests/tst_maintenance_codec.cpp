#include "maintenance/maintenance_codec.h"

#include <catch2/catch.hpp>

using namespace mjm;

// Guards against fields that are lost between two controllers, and against damaged text that is taken for a
// document without hosts, which would give every permit back.
TEST_CASE("documents survive their text and damaged text is refused")
{
    wave_document wave;
    wave.id = "w";
    wave.epoch = 3;
    wave.state = wave_state::stopped;
    wave.stopped_by = stop_reason::unplanned_failures;
    wave.speed = {1, 2, 3, 4};
    wave.drain = drain_policy::checkpoint;
    wave.drain_deadline = std::chrono::seconds{7};
    wave.accepted_failures = 5;
    wave.failure_baseline = 6;
    wave.hosts[target_id{"a"}] = {host_stage::verifying, wait_reason::probe_pending, "b1", true};
    const budget_document budget{4, 9, {{target_id{"a"}, {"w", 3}}}, {target_id{"b"}}};
    const cordon_document cordons{4, 8, {{target_id{"a"}, {"w", 7}}}};
    const controller_record controller{4, "h1", 11};
    const std::string wave_text = maintenance_codec::encode(wave);
    const std::string budget_text = maintenance_codec::encode(budget);
    const std::string cordon_text = maintenance_codec::encode(cordons);
    const std::string controller_text = maintenance_codec::encode(controller);
    CHECK(maintenance_codec::wave(wave_text) == wave);
    CHECK(maintenance_codec::budget(budget_text) == budget);
    CHECK(maintenance_codec::cordons(cordon_text) == cordons);
    CHECK(maintenance_codec::controller(controller_text) == controller);
    for (const std::string& text : {wave_text, budget_text, cordon_text, controller_text}) {
        for (std::size_t length = 0; length < text.size(); ++length) {
            const std::string cut = text.substr(0, length);
            CHECK_FALSE((maintenance_codec::wave(cut) || maintenance_codec::budget(cut) ||
                         maintenance_codec::cordons(cut) || maintenance_codec::controller(cut)));
        }
    }
    CHECK_FALSE(maintenance_codec::budget(cordon_text));
    CHECK_FALSE(maintenance_codec::wave("{}"));
}
