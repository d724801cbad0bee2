#include "timeline_merge.h"

#include <algorithm>
#include <fstream>
#include <tuple>

namespace mjm {

namespace {

bool selects(const std::string& wanted, std::string_view found)
{
    return wanted.empty() || wanted == found;
}

} // namespace

bool timeline_filter::matches(const timeline_event& event) const
{
    const timeline_fields& fields = event.fields;
    return selects(team, fields.team.str()) &&
           (selects(host, event.host.str()) || selects(host, fields.subject)) &&
           selects(request, fields.request.str()) &&
           (shard.empty() || (fields.shard && to_string(*fields.shard) == shard)) &&
           selects(wave, fields.wave) && selects(kind, name_of(event.kind));
}

timeline_merge::timeline_merge(const timeline_filter& filter, std::size_t max_events)
    : filter_{filter}, max_events_{max_events}
{
}

void timeline_merge::read(std::istream& in, const std::string& name)
{
    timeline_input_report report;
    report.name = name;
    std::string line;
    for (std::uint64_t number = 1; std::getline(in, line); ++number) {
        if (line.empty())
            continue;
        ++report.lines;
        tl::expected<timeline_event, timeline_errc> event = parse_timeline_event(line);
        if (!event) {
            if (report.malformed++ == 0) {
                report.first_malformed_line = number;
                report.first_error = event.error();
            }
        } else if (filter_.matches(*event)) {
            if (events_.size() < max_events_)
                events_.push_back(std::move(*event));
            else
                ++left_out_;
        }
    }
    report.readable = !in.bad();
    reports_.push_back(report);
}

void timeline_merge::read_file(const std::string& name)
{
    std::ifstream in{name};
    if (in)
        return read(in, name);
    timeline_input_report report;
    report.name = name;
    report.readable = false;
    reports_.push_back(report);
}

std::vector<timeline_event> timeline_merge::ordered() const
{
    std::vector<timeline_event> events = events_;
    std::stable_sort(events.begin(), events.end(), [](const timeline_event& a, const timeline_event& b) {
        return std::tie(a.time, a.host) < std::tie(b.time, b.host);
    });
    events.erase(std::unique(events.begin(), events.end()), events.end());
    return events;
}

} // namespace mjm
