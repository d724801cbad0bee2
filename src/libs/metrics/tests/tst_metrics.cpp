#include "metrics/metric_registry.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace mjm;

TEST_CASE("the same name and labels are one series, other labels another")
{
    metric_registry registry;
    const metric_counter red = registry.counter("requests_total", "Requests.", {{"team", "red"}});
    const metric_counter blue = registry.counter("requests_total", "Requests.", {{"team", "blue"}});
    red.add();
    registry.counter("requests_total", "Requests.", {{"team", "red"}}).add(2);
    red.add(-5);
    CHECK(red.value() == 3);
    CHECK(blue.value() == 0);
}

TEST_CASE("the exposition text holds every kind with labels, escaped")
{
    metric_registry registry;
    registry.counter("a_total", "A.", {{"l", "x\"\n"}}).add();
    registry.gauge("b", "B.").set(1.5);
    const metric_histogram h = registry.histogram("c_seconds", "C.", {0.1, 1});
    h.observe(0.05);
    h.observe(0.5);
    h.observe(5);
    const std::string text = registry.text();
    CHECK(text.find("# TYPE a_total counter\na_total{l=\"x\\\"\\n\"} 1\n") != std::string::npos);
    CHECK(text.find("# HELP b B.\n# TYPE b gauge\nb 1.5\n") != std::string::npos);
    CHECK(text.find("c_seconds_bucket{le=\"0.1\"} 1\n") != std::string::npos);
    CHECK(text.find("c_seconds_bucket{le=\"1\"} 2\n") != std::string::npos);
    CHECK(text.find("c_seconds_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
}

TEST_CASE("wrong declarations are errors instead of a broken exposition")
{
    metric_registry registry;
    const metric_counter existing = registry.counter("a", "A.");
    existing.add();
    CHECK_THROWS_AS(registry.gauge("a", "A."), std::exception);
    CHECK_THROWS_AS(registry.counter("1 bad", "B."), std::exception);
    CHECK_THROWS_AS(registry.counter("b", "B.", {{"bad-label", "x"}}), std::exception);
    CHECK_THROWS_AS(registry.histogram("c", "C.", {1, 1}), std::exception);
    CHECK(existing.value() == 1);
}

TEST_CASE("no count is lost between threads, also while the text is read")
{
    metric_registry registry;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&registry] {
            for (int n = 0; n < 1000; ++n)
                registry.counter("a_total", "A.").add();
        });
    }
    CHECK_NOTHROW(registry.text());
    for (std::thread& thread : threads)
        thread.join();
    CHECK(registry.counter("a_total", "A.").value() == 4000);
}
