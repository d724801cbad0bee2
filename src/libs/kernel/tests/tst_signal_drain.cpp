#include "kernel/signal_drain.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

using namespace mjm;

TEST_CASE("the first signal drains, the second one ends, further ones do nothing")
{
    std::promise<void> drained;
    std::promise<drain_end> ended;
    {
        signal_drain drain{std::chrono::hours{1}, [&drained] { drained.set_value(); },
                           [&ended](drain_end end) { ended.set_value(end); }};
        CHECK(drain.state() == drain_state::running);
        raise(SIGTERM);
        drained.get_future().wait();
        CHECK(drain.state() == drain_state::draining);
        raise(SIGINT);
        CHECK(ended.get_future().get() == drain_end::second_signal);
        CHECK(drain.state() == drain_state::ended);
        // More than a pipe holds, so that the destructor would hang if nobody read on.
        for (int n = 0; n < 70'000; ++n)
            drain.request();
    }
}

TEST_CASE("the deadline ends a drain without a second signal")
{
    std::promise<drain_end> ended;
    const signal_drain drain{duration::zero(), [] {}, [&ended](drain_end end) { ended.set_value(end); }};
    raise(SIGINT);
    CHECK(ended.get_future().get() == drain_end::deadline);
}

TEST_CASE("an instance that is destroyed early leaves no handler and no callback")
{
    bool called = false;
    struct sigaction before = {};
    struct sigaction after = {};
    sigaction(SIGTERM, nullptr, &before);
    {
        const signal_drain drain{std::chrono::hours{1}, [&called] { called = true; },
                                 [&called](drain_end) { called = true; }};
        CHECK_THROWS_AS((signal_drain{duration::zero(), [] {}, [](drain_end) {}}), std::logic_error);
    }
    sigaction(SIGTERM, nullptr, &after);
    CHECK(before.sa_handler == after.sa_handler);
    CHECK_FALSE(called);
}

// Guards against a callback that fails and ends the process within its grace time.
TEST_CASE("a drain whose callback throws an exception still ends")
{
    std::promise<drain_end> ended;
    const signal_drain drain{duration::zero(), [] { throw std::runtime_error("no memory"); },
                             [&ended](drain_end end) { ended.set_value(end); }};
    raise(SIGTERM);
    CHECK(ended.get_future().get() == drain_end::deadline);
}
