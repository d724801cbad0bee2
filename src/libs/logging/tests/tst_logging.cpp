#include "core/identifiers.h"
#include "logging/logger.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <future>
#include <thread>

#include <unistd.h>

using namespace mjm;
using nlohmann::json;

namespace {

enum class test_event { opened };

} // namespace

template <>
struct mjm::enum_names<test_event> {
    static constexpr std::array<std::pair<test_event, std::string_view>, 1> entries{{
        {test_event::opened, "opened"},
    }};
};

namespace {

/// Lines that `use` logs.
std::vector<json> lines_of(const std::function<void(const logger&)>& use, log_level level = log_level::info)
{
    std::vector<json> lines;
    manual_clock time;
    {
        log_settings settings;
        settings.level = level;
        log_sink sink{settings, time,
                      [&lines](const std::string& line) { lines.push_back(json::parse(line)); }};
        use(logger{sink, "net"});
    }
    return lines;
}

} // namespace

TEST_CASE("a line is one JSON object with typed fields")
{
    const std::vector<json> lines = lines_of([](const logger& log) {
        log.info(test_event::opened, {{"port", 80},
                                      {"ratio", 0.5},
                                      {"ok", true},
                                      {"team", team_id{"red"}},
                                      {"size", std::size_t{18'446'744'073'709'551'615U}},
                                      {"text", "a\"b\n\xff"}});
    });
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["time"] == "2025-12-18T00:00:00.000Z");
    CHECK(lines[0]["level"] == "info");
    CHECK(lines[0]["component"] == "net");
    CHECK(lines[0]["event"] == "opened");
    CHECK(lines[0]["fields"]["port"] == 80);
    CHECK(lines[0]["fields"]["ratio"] == 0.5);
    CHECK(lines[0]["fields"]["ok"] == true);
    CHECK(lines[0]["fields"]["team"] == "red");
    CHECK(lines[0]["fields"]["size"] == 18'446'744'073'709'551'615U);
    CHECK(lines[0]["fields"]["text"] == "a\"b\n\uFFFD");
}

TEST_CASE("values of confidential fields never reach the output")
{
    for (const char* name :
         {"key", "Key", "authorization", "Authorization", "secret", "ticket_secret", "api-key", "apiKey",
          "team_keys", "password", "proxy-authorization", "key.value"}) {
        const std::vector<json> lines = lines_of([name](const logger& log) {
            log.error("refused", {{name, "hunter2"}, {"n", 1}});
        });
        REQUIRE(lines.size() == 1);
        CHECK(lines[0].dump().find("hunter2") == std::string::npos);
        CHECK(lines[0]["fields"][name] == "[redacted]");
        CHECK(lines[0]["fields"]["n"] == 1);
    }
    CHECK_FALSE(is_confidential_field("key_id"));
    CHECK_FALSE(is_confidential_field("team"));
    CHECK_FALSE(is_confidential_field(""));
}

TEST_CASE("lines below the level are left out")
{
    const std::vector<json> lines = lines_of(
        [](const logger& log) {
            log.debug("a");
            log.info("b");
            log.warn("c");
            log.error("d");
        },
        log_level::warn);
    REQUIRE(lines.size() == 2);
    CHECK(lines[0]["event"] == "c");
    CHECK(lines[1]["event"] == "d");
}

TEST_CASE("a stuck output drops and counts lines instead of blocking the caller")
{
    manual_clock time;
    std::vector<std::string> events;
    std::promise<void> entered;
    std::promise<void> release;
    std::future<void> released = release.get_future();
    std::future<void> stuck = entered.get_future();
    {
        log_settings settings;
        settings.queue_capacity = 2;
        log_sink sink{settings, time, [&](const std::string& line) {
                          const json parsed = json::parse(line);
                          events.push_back(parsed["event"].get<std::string>());
                          if (events.size() == 1) {
                              entered.set_value();
                              released.wait();
                          }
                          if (parsed["event"] == "log_dropped")
                              CHECK(parsed["fields"]["dropped"] == 3);
                      }};
        const logger log{sink, "net"};
        log.info("first");
        stuck.wait();
        for (int n = 0; n < 5; ++n)
            log.info("next");
        CHECK(sink.dropped() == 3);
        release.set_value();
    }
    CHECK(events == std::vector<std::string>{"first", "log_dropped", "next", "next"});
}

TEST_CASE("loggers may be used by several threads, and lines stay whole")
{
    std::size_t lines = 0;
    manual_clock time;
    {
        log_settings settings;
        settings.queue_capacity = 4000;
        log_sink sink{settings, time, [&lines](const std::string& line) {
                          if (json::accept(line))
                              ++lines;
                      }};
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&sink, t] {
                const logger log{sink, "thread" + std::to_string(t)};
                for (int n = 0; n < 1000; ++n)
                    log.info("step", {{"n", n}});
            });
        }
        for (std::thread& thread : threads)
            thread.join();
    }
    CHECK(lines == 4000);
}

TEST_CASE("a file is appended to, and one that cannot be opened is an error")
{
    manual_clock time;
    log_settings settings;
    settings.destination = log_destination::file;
    settings.file = "/nonexistent/log";
    CHECK_THROWS_AS((log_sink{settings, time}), std::runtime_error);
    settings.file = "tst_logging." + std::to_string(getpid()) + ".log";
    for (int n = 0; n < 2; ++n) {
        log_sink sink{settings, time};
        logger{sink, "net"}.info("started");
    }
    std::ifstream in{settings.file};
    std::string line;
    int lines = 0;
    while (std::getline(in, line))
        lines += json::accept(line) ? 1 : 0;
    std::remove(settings.file.c_str());
    CHECK(lines == 2);
}

TEST_CASE("a file name without the file destination is a contradiction")
{
    CHECK(make_log_schema().parse("{}", "f"));
    CHECK(make_log_schema().parse(R"({"file": "x"})", "f").error()[0].code == settings_errc::contradiction);
    CHECK(make_log_schema().parse(R"({"destination": "file"})", "f").error()[0].code ==
          settings_errc::contradiction);
}

// Guards against an output that fails, as for want of memory, and ends the process.
TEST_CASE("lines that the output doesn't take are counted, and later ones are written")
{
    std::vector<std::string> lines;
    manual_clock time;
    {
        log_sink sink{log_settings{}, time, [&lines](const std::string& line) {
                          if (line.find("lost") != std::string::npos)
                              throw std::bad_alloc();
                          lines.push_back(line);
                      }};
        const logger log{sink, "net"};
        log.info("lost");
        log.info("kept");
    }
    REQUIRE(lines.size() == 2);
    CHECK(lines[0].find(R"("dropped":1)") != std::string::npos);
    CHECK(lines[1].find("kept") != std::string::npos);
}
