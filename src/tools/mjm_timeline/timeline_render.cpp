#include "timeline_render.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

namespace mjm {

namespace {

constexpr int picture_width = 1400;
constexpr int label_width = 160;
constexpr int lane_height = 56;
constexpr int top = 40;
constexpr int mark_radius = 4;
constexpr int rows_per_lane = 5;
constexpr int axis_steps = 10;
constexpr int legend_columns = 6;

/// Control characters would let an event rewrite the terminal or split a line.
std::string plain(const std::string& text)
{
    std::string out = text;
    std::replace_if(
        out.begin(), out.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, ' ');
    return out;
}

std::string escaped(const std::string& text)
{
    std::string out;
    for (const char c : plain(text)) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string summary(const timeline_event& event)
{
    std::ostringstream out;
    const timeline_fields& fields = event.fields;
    out << name_of(event.kind);
    if (!fields.team.empty())
        out << " team=" << fields.team;
    if (!fields.subject.empty())
        out << " subject=" << fields.subject;
    if (!fields.request.empty())
        out << " request=" << fields.request;
    if (fields.shard)
        out << " shard=" << *fields.shard;
    if (!fields.wave.empty())
        out << " wave=" << fields.wave;
    if (fields.version != 0)
        out << " version=" << fields.version;
    if (!fields.detail.empty())
        out << " detail=" << fields.detail;
    return plain(out.str());
}

/// Hue by the position in the name table; the golden angle keeps neighbours apart.
int hue_of(timeline_kind kind)
{
    return static_cast<int>(kind) * 137 % 360;
}

/// The request that all events belong to; empty when there is none.
std::string common_request(const std::vector<timeline_event>& events)
{
    if (events.empty())
        return {};
    const request_id& first = events.front().fields.request;
    const bool same = std::all_of(events.begin(), events.end(),
                                  [&first](const timeline_event& e) { return e.fields.request == first; });
    return same ? first.str() : std::string{};
}

} // namespace

std::string render_text(const std::vector<timeline_event>& events)
{
    std::ostringstream out;
    for (const timeline_event& event : events) {
        const std::int64_t offset_ms = event.time.wall_ms - events.front().time.wall_ms;
        out << '+' << std::setw(8) << offset_ms << " ms ." << std::left << std::setw(4) << event.time.counter
            << ' ' << std::setw(12) << plain(event.host.str()) << ' ' << std::setw(8)
            << plain(event.zone.str()) << ' ' << std::right << summary(event) << '\n';
    }
    return out.str();
}

std::string render_json(const std::vector<timeline_event>& events)
{
    std::string out;
    for (const timeline_event& event : events)
        out += to_json(event) + "\n";
    return out;
}

std::string render_html(const std::vector<timeline_event>& events)
{
    std::map<host_id, int> lanes;
    std::set<timeline_kind> kinds;
    for (const timeline_event& event : events) {
        lanes.emplace(event.host, 0);
        kinds.insert(event.kind);
    }
    int next_lane = 0;
    for (std::map<host_id, int>::iterator it = lanes.begin(); it != lanes.end(); ++it)
        it->second = next_lane++;

    const std::int64_t begin_ms = events.empty() ? 0 : events.front().time.wall_ms;
    // Times come from the input and may be anything up to the largest integer.
    const double span =
        events.empty()
            ? 1.0
            : std::max(1.0, static_cast<double>(events.back().time.wall_ms) - static_cast<double>(begin_ms));
    const double plot_width = picture_width - label_width - 20.0;
    const int lanes_bottom = top + next_lane * lane_height;
    const int legend_rows = (static_cast<int>(kinds.size()) + legend_columns - 1) / legend_columns;
    const int height = lanes_bottom + 30 + legend_rows * 20;

    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Timeline</title></head>"
           "<body>\n<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
        << picture_width << "\" height=\"" << height << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    for (int n = 0; n <= axis_steps; ++n) {
        const double x = label_width + plot_width * n / axis_steps;
        out << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"" << top - 10 << "\" y2=\"" << lanes_bottom
            << "\" stroke=\"#ddd\"/><text x=\"" << x << "\" y=\"" << top - 16 << "\" text-anchor=\"middle\">+"
            << span * n / axis_steps << " ms</text>\n";
    }
    for (const std::pair<const host_id, int>& lane : lanes) {
        const int y = top + lane.second * lane_height + lane_height / 2;
        out << "<g class=\"lane\"><line x1=\"" << label_width << "\" x2=\"" << picture_width - 20
            << "\" y1=\"" << y << "\" y2=\"" << y << "\" stroke=\"#999\"/><text x=\"8\" y=\"" << y + 4
            << "\">" << escaped(lane.first.str()) << "</text></g>\n";
    }
    std::ostringstream marks;
    marks << std::fixed << std::setprecision(1);
    std::ostringstream path;
    path << std::fixed << std::setprecision(1);
    std::map<host_id, std::pair<double, int>> last_mark; // Position and row of a lane's latest mark.
    for (const timeline_event& event : events) {
        const double x =
            label_width +
            plot_width * (static_cast<double>(event.time.wall_ms) - static_cast<double>(begin_ms)) / span;
        int row = 0;
        const std::map<host_id, std::pair<double, int>>::iterator last = last_mark.find(event.host);
        // Marks that would cover each other alternate around the lane's line.
        if (last != last_mark.end() && x - last->second.first < 2 * mark_radius)
            row = (last->second.second + 1) % rows_per_lane;
        last_mark[event.host] = {x, row};
        const int offset = (row % 2 == 0 ? 1 : -1) * ((row + 1) / 2) * 2 * mark_radius;
        const int y = top + lanes[event.host] * lane_height + lane_height / 2 + offset;
        marks << "<circle cx=\"" << x << "\" cy=\"" << y << "\" r=\"" << mark_radius << "\" fill=\"hsl("
              << hue_of(event.kind) << ",70%,45%)\"><title>+" << event.time.wall_ms - begin_ms << " ms ."
              << event.time.counter << ' ' << escaped(event.host.str()) << ' ' << escaped(summary(event))
              << "</title></circle>\n";
        path << x << ',' << y << ' ';
    }
    if (!common_request(events).empty())
        out << "<polyline points=\"" << path.str() << "\" fill=\"none\" stroke=\"#555\"/>\n";
    out << marks.str();
    int n = 0;
    for (const timeline_kind kind : kinds) {
        const int x = label_width + n % legend_columns * 200;
        const int y = lanes_bottom + 20 + n / legend_columns * 20;
        out << "<circle cx=\"" << x << "\" cy=\"" << y << "\" r=\"" << mark_radius << "\" fill=\"hsl("
            << hue_of(kind) << ",70%,45%)\"/><text x=\"" << x + 10 << "\" y=\"" << y + 4 << "\">"
            << name_of(kind) << "</text>\n";
        ++n;
    }
    out << "</svg>\n</body></html>\n";
    return out.str();
}

} // namespace mjm
