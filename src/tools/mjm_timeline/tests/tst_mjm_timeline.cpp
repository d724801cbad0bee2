#include "timeline_merge.h"
#include "timeline_render.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>

using namespace mjm;

namespace {

timeline_event make_event(std::int64_t ms, std::uint32_t n, const std::string& host,
                          timeline_kind kind = timeline_kind::task_started, timeline_fields fields = {})
{
    return {{ms, n}, host_id{host}, zone_id{"a"}, kind, std::move(fields)};
}

void read(timeline_merge& merge, const std::string& name, const std::vector<timeline_event>& events)
{
    std::istringstream in{render_json(events)};
    merge.read(in, name);
}

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t n = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++n;
    return n;
}

} // namespace

TEST_CASE("inputs are merged by hybrid time, ties by host, copies once")
{
    timeline_merge merge{{}, 100};
    const timeline_event a1 = make_event(10, 0, "h1");
    const timeline_event a2 = make_event(10, 2, "h1");
    const timeline_event b1 = make_event(10, 1, "h2");
    const timeline_event b2 = make_event(10, 2, "h0");
    const timeline_event b3 = make_event(9, 7, "h2");
    read(merge, "a", {a1, a2});
    read(merge, "b", {b1, b2, b3});
    read(merge, "copy of a", {a1, a2});
    CHECK(merge.ordered() == std::vector<timeline_event>{b3, a1, b1, b2, a2});
}

TEST_CASE("malformed lines are counted per input and do not end it")
{
    timeline_merge merge{{}, 100};
    std::istringstream in{to_json(make_event(1, 0, "h")) + "\n\nnot json\n{\"ms\":1}\n\xff\xfe\n" +
                          to_json(make_event(2, 0, "h"))};
    merge.read(in, "a");
    merge.read_file("/nonexistent");
    CHECK(merge.ordered().size() == 2);
    REQUIRE(merge.reports().size() == 2);
    CHECK(merge.reports()[0].lines == 5);
    CHECK(merge.reports()[0].malformed == 3);
    CHECK(merge.reports()[0].first_malformed_line == 3);
    CHECK(merge.reports()[0].readable);
    CHECK_FALSE(merge.reports()[1].readable);
}

TEST_CASE("each filter selects by its own field, and the host also as the one concerned")
{
    const timeline_fields fields{
        team_id{"red"}, "w1", request_id{"r1"}, shard_id{service_id{"s"}, zone_id{"a"}}, "wave1", 3, ""};
    const timeline_event event = make_event(1, 0, "h1", timeline_kind::task_started, fields);
    const timeline_event other = make_event(1, 1, "h2", timeline_kind::task_finished);
    const std::vector<timeline_filter> filters{
        {"red", "", "", "", "", ""},          {"", "h1", "", "", "", ""},
        {"", "w1", "", "", "", ""},           {"", "", "r1", "", "", ""},
        {"", "", "", "s@a", "", ""},          {"", "", "", "", "wave1", ""},
        {"", "", "", "", "", "task_started"}, {"red", "w1", "r1", "s@a", "wave1", "task_started"}};
    for (const timeline_filter& filter : filters) {
        CHECK(filter.matches(event));
        CHECK_FALSE(filter.matches(other));
    }
    CHECK(timeline_filter{}.matches(other));
    CHECK_FALSE((timeline_filter{"red", "h2", "", "", "", ""}.matches(event)));
}

TEST_CASE("events beyond the limit are counted")
{
    timeline_merge merge{{}, 1};
    read(merge, "a", {make_event(1, 0, "h"), make_event(2, 0, "h"), make_event(3, 0, "h")});
    CHECK(merge.ordered().size() == 1);
    CHECK(merge.left_out() == 2);
}

TEST_CASE("the picture has one lane per host, one mark per event, and no outside references or raw input")
{
    timeline_fields fields;
    fields.request = request_id{"r1"};
    fields.detail = "<script>&\"";
    const std::vector<timeline_event> events{
        make_event(1, 0, "h1", timeline_kind::request_accepted, fields),
        make_event(1, 1, "h<2>", timeline_kind::task_started, fields),
        make_event(9'223'372'036'854'775'807, 0, "h1", timeline_kind::task_finished, fields)};
    const std::string page = render_html(events);
    CHECK(count(page, "class=\"lane\"") == 2);
    CHECK(count(page, "<title>+") == 3);
    CHECK(count(page, "<polyline") == 1);
    CHECK(count(page, "<script") == 0);
    CHECK(count(page, "h<2>") == 0);
    CHECK(count(page, "&lt;script&gt;&amp;&quot;") == 3);
    CHECK(count(page, "href=") + count(page, "src=") == 0);
    std::vector<timeline_event> two_requests = events;
    two_requests[1].fields.request = request_id{"r2"};
    CHECK(count(render_html(two_requests), "<polyline") == 0);
    CHECK(render_html({}).find("</svg>") != std::string::npos);
}

TEST_CASE("text has one line an event, also when an event holds line ends and escape characters")
{
    timeline_fields fields;
    fields.detail = "a\nb\x1b[2J";
    const std::string text =
        render_text({make_event(5, 0, "h1", timeline_kind::task_started, fields), make_event(7, 3, "h2")});
    CHECK(count(text, "\n") == 2);
    CHECK(count(text, "\x1b") == 0);
    CHECK(text.find("+       2 ms .3") != std::string::npos);
}
