#include "kernel/duty_thread.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <new>
#include <stdexcept>
#include <string>
#include <vector>

using namespace mjm;

namespace {

duty_thread_settings settings(std::size_t capacity, duration tick_interval)
{
    return {"test", capacity, tick_interval};
}

} // namespace

TEST_CASE("a full request ring refuses, replies are still taken and run first")
{
    ring_executor executor{1};
    std::vector<int> ran;
    ring_executor::work first = [&ran] { ran.push_back(1); };
    ring_executor::work second = [&ran] { ran.push_back(2); };
    REQUIRE(executor.try_post(first));
    CHECK_FALSE(executor.try_post(second));
    CHECK(second);
    CHECK(executor.refused_requests() == 1);
    for (int n = 10; n < 13; ++n)
        executor.post([&ran, n] { ran.push_back(n); });
    CHECK(executor.waiting_replies() == 3);
    CHECK(executor.run_pending() == 4);
    CHECK(ran == std::vector<int>{10, 11, 12, 1});
}

TEST_CASE("work posted by work runs later, not from within the call")
{
    ring_executor executor{1};
    std::vector<int> ran;
    executor.post([&] {
        executor.post([&ran] { ran.push_back(2); });
        ran.push_back(1);
    });
    executor.run_pending();
    CHECK(ran == std::vector<int>{1, 2});
}

// Guards against knowledge of the store that waits behind the reports of hundreds of targets.
TEST_CASE("an urgent reply does not wait for the other replies that are queued")
{
    ring_executor executor{1};
    std::vector<int> ran;
    for (int n = 10; n < 13; ++n)
        executor.post([&ran, &executor, n] {
            ran.push_back(n);
            if (n == 11)
                executor.urgent().post([&ran] { ran.push_back(2); });
        });
    executor.urgent().post([&ran] { ran.push_back(1); });
    CHECK(executor.waiting_replies() == 4);
    CHECK(executor.run_pending() == 5);
    CHECK(ran == std::vector<int>{1, 10, 11, 2, 12});
}

TEST_CASE("urgent replies that keep coming starve neither other replies nor requests")
{
    ring_executor executor{1};
    int others = 0;
    std::function<void()> again = [&] {
        if (others < 2)
            executor.urgent().post(again);
    };
    executor.urgent().post(again);
    executor.post([&others] { ++others; });
    ring_executor::work request = [&others] { ++others; };
    REQUIRE(executor.try_post(request));
    executor.run_pending();
    CHECK(others == 2);
}

TEST_CASE("replies that keep coming do not starve a request")
{
    ring_executor executor{1};
    bool request_ran = false;
    std::function<void()> again = [&] {
        if (!request_ran)
            executor.post(again);
    };
    executor.post(again);
    ring_executor::work request = [&request_ran] { request_ran = true; };
    REQUIRE(executor.try_post(request));
    executor.run_pending();
    CHECK(request_ran);
}

TEST_CASE("a reply wakes a thread that waits for requests")
{
    // Without the wake this test hangs until the tick, an hour away.
    duty_thread thread{settings(1, std::chrono::hours{1}), [] {}};
    thread.start();
    for (int n = 0; n < 100; ++n) {
        std::promise<bool> done;
        thread.executor().post([&] { done.set_value(thread.is_current()); });
        CHECK(done.get_future().get());
    }
}

TEST_CASE("ticks come while idle and under constant load")
{
    const bool loaded = GENERATE(false, true);
    std::promise<void> ticked;
    int ticks = 0;
    duty_thread thread{settings(16, std::chrono::milliseconds{1}), [&] {
                           if (++ticks == 3)
                               ticked.set_value();
                       }};
    std::atomic<bool> finished = false;
    std::function<void()> again = [&] {
        if (!finished)
            thread.executor().post(again);
    };
    if (loaded)
        thread.executor().post(again);
    thread.start();
    ticked.get_future().wait();
    finished = true;
    thread.stop();
    CHECK(ticks >= 3);
}

TEST_CASE("stop runs what is queued and refuses new requests")
{
    int ran = 0;
    duty_thread thread{settings(8, std::chrono::hours{1}), [] {}};
    for (int n = 0; n < 8; ++n) {
        ring_executor::work work = [&ran] { ++ran; };
        REQUIRE(thread.executor().try_post(work));
    }
    thread.start();
    thread.stop();
    CHECK(ran == 8);
    ring_executor::work late = [] {};
    CHECK_FALSE(thread.executor().try_post(late));
}

// Guards against an exception of one piece of work that ends the process.
TEST_CASE("an exception of a tick, a reply or a request ends neither the thread nor other work")
{
    std::vector<std::string> failures;
    std::promise<void> ticked;
    int ticks = 0;
    duty_thread_settings with_handler = settings(8, std::chrono::milliseconds{1});
    with_handler.on_failure = [&failures](std::string_view what) {
        failures.emplace_back(what);
        throw std::runtime_error("the handler fails, too");
    };
    duty_thread thread{with_handler, [&] {
                           if (++ticks == 1)
                               throw std::runtime_error("tick");
                           if (ticks == 2)
                               ticked.set_value();
                       }};
    int ran = 0;
    for (int n = 0; n < 3; ++n) {
        thread.executor().post([&ran, n] {
            ++ran;
            if (n == 0)
                throw std::out_of_range("reply");
        });
        thread.executor().urgent().post([&ran, n] {
            ++ran;
            if (n == 1)
                throw 7;
        });
        ring_executor::work request = [&ran, n] {
            ++ran;
            if (n == 2)
                throw std::bad_alloc();
        };
        REQUIRE(thread.executor().try_post(request));
    }
    thread.start();
    ticked.get_future().wait();
    thread.stop();
    CHECK(ran == 9);
    CHECK(failures.size() == 4);
    CHECK(std::count(failures.begin(), failures.end(), "reply") == 1);
    CHECK(std::count(failures.begin(), failures.end(), "tick") == 1);
}

// Guards against a process that isn't stopped within its grace time.
TEST_CASE("work that keeps coming doesn't keep a thread from stopping")
{
    duty_thread thread{settings(1, std::chrono::hours{1}), [] {}};
    std::function<void()> again = [&] { thread.executor().post(again); };
    thread.executor().post(again);
    thread.start();
    thread.stop(); // Doesn't return otherwise.
    CHECK(thread.executor().waiting_replies() == 1);
}
