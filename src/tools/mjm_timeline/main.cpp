#include "kernel/program_options.h"
#include "timeline_merge.h"
#include "timeline_render.h"

#include <iostream>

using namespace mjm;

namespace {

struct timeline_tool_settings {
    std::size_t max_events = 1'000'000;
};

settings_schema<timeline_tool_settings> make_schema()
{
    settings_schema<timeline_tool_settings> schema;
    schema.integer("max_events", &timeline_tool_settings::max_events, 1, 100'000'000,
                   "Matching events kept in memory; more are counted and left out.");
    return schema;
}

std::vector<std::string> kind_names()
{
    std::vector<std::string> names;
    names.reserve(enum_names<timeline_kind>::entries.size());
    for (const std::pair<timeline_kind, std::string_view>& entry : enum_names<timeline_kind>::entries)
        names.emplace_back(entry.second);
    return names;
}

/// Reports go to standard error, so that they never mix with the picture. Returns whether all inputs could
/// be read.
bool print_reports(const timeline_merge& merge)
{
    bool all_readable = true;
    for (const timeline_input_report& report : merge.reports()) {
        if (!report.readable) {
            std::cerr << report.name << ": cannot be read\n";
            all_readable = false;
        }
        if (report.malformed > 0)
            std::cerr << report.name << ": " << report.malformed << " of " << report.lines
                      << " lines malformed, first at line " << report.first_malformed_line << ": "
                      << name_of(report.first_error) << '\n';
    }
    if (merge.left_out() > 0)
        std::cerr << merge.left_out() << " events left out, see max_events\n";
    return all_readable;
}

} // namespace

int main(int argc, char** argv)
{
    timeline_filter filter;
    std::string format = "text";
    std::vector<std::string> files;
    program_options options{
        {"mjm_timeline", MJM_VERSION, "Merges JSON-lines timelines of several processes in causal order."}};
    options.choice("--format", format, {"text", "html", "json"}, "Output format")
        .text("--team", filter.team, "Only events of this team")
        .text("--host", filter.host, "Only events recorded by or about this host")
        .text("--request", filter.request, "Only events of this request")
        .text("--shard", filter.shard, "Only events of this shard (service@zone)")
        .text("--wave", filter.wave, "Only events of this wave")
        .choice("--kind", filter.kind, kind_names(), "Only events of this kind")
        .arguments("files", files, "JSON-lines files; none or - for standard input");
    const auto body = [&](const timeline_tool_settings& settings) {
        if (!filter.shard.empty() && !parse_shard_id(filter.shard)) {
            std::cerr << "--shard: found " << filter.shard << ", allowed service@zone\n";
            return exit_settings_error;
        }
        timeline_merge merge{filter, settings.max_events};
        if (files.empty())
            files.emplace_back("-");
        for (const std::string& file : files) {
            if (file == "-")
                merge.read(std::cin, "(stdin)");
            else
                merge.read_file(file);
        }
        const std::vector<timeline_event> events = merge.ordered();
        if (format == "html")
            std::cout << render_html(events);
        else if (format == "json")
            std::cout << render_json(events);
        else
            std::cout << render_text(events);
        const bool all_readable = print_reports(merge);
        if (!std::cout.flush()) {
            std::cerr << "output failed\n";
            return exit_runtime_failure;
        }
        return all_readable ? exit_success : exit_runtime_failure;
    };
    return run_program(options, make_schema(), argc, argv, body);
}
