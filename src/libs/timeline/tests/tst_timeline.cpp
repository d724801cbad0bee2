#include "timeline/timeline.h"
#include "timeline/timeline_writer.h"

#include <catch2/catch.hpp>

#include <set>
#include <sstream>
#include <thread>

using namespace mjm;

namespace {

timeline_fields detail(int n)
{
    timeline_fields fields;
    fields.detail = std::to_string(n);
    return fields;
}

timeline make_timeline(const mjm::clock& time, std::size_t capacity)
{
    return timeline{host_id{"h1"}, zone_id{"a"}, time, capacity};
}

} // namespace

TEST_CASE("an event survives its JSON form, and bytes that are no UTF-8 do not break the line")
{
    timeline_event event{{123, 4}, host_id{"h1"}, zone_id{"a"}, timeline_kind::task_started, {}};
    CHECK(parse_timeline_event(to_json(event)) == event);
    event.fields = {team_id{"red"},
                    "w7",
                    request_id{"r1"},
                    shard_id{service_id{"s"}, zone_id{"a"}},
                    "wave\"1\n",
                    18'446'744'073'709'551'615U,
                    "x"};
    CHECK(parse_timeline_event(to_json(event)) == event);
    event.fields.detail = "\xff";
    CHECK(parse_timeline_event(to_json(event)));
}

TEST_CASE("malformed lines are told apart")
{
    const auto error = [](const char* line) { return parse_timeline_event(line).error(); };
    CHECK(error("") == timeline_errc::not_json);
    CHECK(error("{\"ms\":1") == timeline_errc::not_json);
    CHECK(error("[1]") == timeline_errc::not_json);
    CHECK(error("\"\xff\"") == timeline_errc::not_json);
    CHECK(error(R"({"ms":1,"n":0,"host":"h","zone":"a"})") == timeline_errc::missing_field);
    CHECK(error(R"({"ms":"1","n":0,"host":"h","zone":"a","kind":"task_started"})") ==
          timeline_errc::wrong_field);
    CHECK(error(R"({"ms":1,"n":-1,"host":"h","zone":"a","kind":"task_started"})") ==
          timeline_errc::wrong_field);
    CHECK(error(R"({"ms":1,"n":4294967296,"host":"h","zone":"a","kind":"task_started"})") ==
          timeline_errc::wrong_field);
    CHECK(error(R"({"ms":1,"n":0,"host":"h","zone":"a","kind":"task_started","shard":"x"})") ==
          timeline_errc::wrong_field);
    CHECK(error(R"({"ms":1,"n":0,"host":"h","zone":"a","kind":"later"})") == timeline_errc::unknown_kind);
    CHECK(parse_timeline_event(R"({"ms":1,"n":0,"host":"h","zone":"a","kind":"task_started","new":[]})"));
}

TEST_CASE("a received timestamp orders later events after the sender's, despite a slow local clock")
{
    manual_clock fast;
    manual_clock slow;
    fast.step_wall(std::chrono::seconds{30});
    timeline sender = make_timeline(fast, 4);
    timeline receiver = make_timeline(slow, 4);
    sender.record(timeline_kind::request_forwarded);
    receiver.observe(sender.stamp());
    receiver.record(timeline_kind::request_accepted);
    CHECK(sender.fetch(0, 1).events[0].time < receiver.fetch(0, 1).events[0].time);
}

TEST_CASE("a full buffer drops the oldest events, and a reader learns how many it missed")
{
    manual_clock time;
    timeline events = make_timeline(time, 3);
    for (int n = 1; n <= 5; ++n)
        events.record(timeline_kind::task_started, detail(n));
    CHECK(events.dropped() == 2);
    const timeline_batch first = events.fetch(1, 2);
    CHECK(first.missed == 1);
    CHECK(first.next == 4);
    REQUIRE(first.events.size() == 2);
    CHECK(first.events[0].fields.detail == "3");
    const timeline_batch second = events.fetch(first.next, 10);
    CHECK(second.missed == 0);
    REQUIRE(second.events.size() == 1);
    CHECK(second.events[0].fields.detail == "5");
    CHECK(events.fetch(second.next, 10).events.empty());
    CHECK(events.fetch(second.next, 10).next == 5);
    // A reader of an earlier process starts over instead of waiting for ever.
    CHECK(events.fetch(6, 10).events.size() == 3);
    CHECK(events.fetch_json(4, 10).starts_with(R"({"next":5,"missed":0,"events":[{"ms":)"));
    CHECK(events.fetch_json(5, 10) == R"({"next":5,"missed":0,"events":[]})");
}

TEST_CASE("the writer writes each event once and marks a gap")
{
    manual_clock time;
    timeline events = make_timeline(time, 2);
    std::ostringstream out;
    timeline_writer writer{events, out};
    events.record(timeline_kind::task_started, detail(1));
    CHECK(writer.write_new() == 1);
    CHECK(writer.write_new() == 0);
    for (int n = 2; n <= 6; ++n)
        events.record(timeline_kind::task_started, detail(n));
    CHECK(writer.write_new() == 2);
    CHECK(writer.missed() == 3);
    std::istringstream in{out.str()};
    std::vector<std::string> seen;
    std::string line;
    while (std::getline(in, line)) {
        const tl::expected<timeline_event, timeline_errc> event = parse_timeline_event(line);
        REQUIRE(event);
        seen.push_back(std::string{name_of(event->kind)} + " " + event->fields.detail);
    }
    CHECK(seen ==
          std::vector<std::string>{"task_started 1", "events_dropped 3", "task_started 5", "task_started 6"});
}

TEST_CASE("an output that fails is an error of its own, and writing resumes after it")
{
    manual_clock time;
    timeline events = make_timeline(time, 8);
    timeline_writer closed{events, "/nonexistent/timeline"};
    CHECK(closed.write_new().error() == timeline_write_errc::not_open);
    std::ostringstream out;
    timeline_writer writer{events, out};
    events.record(timeline_kind::task_started);
    out.setstate(std::ios::badbit);
    CHECK(writer.write_new().error() == timeline_write_errc::failed);
    events.record(timeline_kind::task_finished);
    CHECK(writer.write_new() == 1);
    CHECK(out.str().find("task_finished") != std::string::npos);
}

TEST_CASE("events of several threads get distinct rising times")
{
    manual_clock time;
    timeline events = make_timeline(time, 4000);
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&events] {
            for (int n = 0; n < 1000; ++n)
                events.record(timeline_kind::task_started);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    const timeline_batch batch = events.fetch(0, 4000);
    std::set<hybrid_time> times;
    for (const timeline_event& event : batch.events)
        times.insert(event.time);
    CHECK(times.size() == 4000);
    CHECK(std::is_sorted(batch.events.begin(), batch.events.end(),
                         [](const timeline_event& a, const timeline_event& b) { return a.time < b.time; }));
}
