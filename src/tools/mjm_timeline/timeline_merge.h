#pragma once

#include "timeline/timeline_event.h"

#include <cstddef>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace mjm {

/// Selects events; an empty member selects all.
struct timeline_filter {
    std::string team;
    std::string host; ///< The recording host or the host concerned.
    std::string request;
    std::string shard; ///< `service@zone`.
    std::string wave;
    std::string kind;

    [[nodiscard]] bool matches(const timeline_event& event) const;
};

/// How one input was read.
struct timeline_input_report {
    std::string name;
    bool readable = true;
    std::uint64_t lines = 0; ///< Without empty ones.
    std::uint64_t malformed = 0;
    std::uint64_t first_malformed_line = 0; ///< Counted from 1.
    timeline_errc first_error = timeline_errc::not_json;
};

/// Collects events of several inputs and puts them in causal order.
class timeline_merge {
public:
    /// Keeps at most `max_events` matching events.
    timeline_merge(const timeline_filter& filter, std::size_t max_events);

    void read(std::istream& in, const std::string& name);
    /// Opens a file; one that cannot be read appears in the reports.
    void read_file(const std::string& name);

    /// By hybrid time, then host, then position in the input. Events that occur in several inputs, such as a
    /// file and a fetched copy, are kept once.
    [[nodiscard]] std::vector<timeline_event> ordered() const;
    [[nodiscard]] const std::vector<timeline_input_report>& reports() const { return reports_; }
    /// Matching events beyond the limit.
    [[nodiscard]] std::uint64_t left_out() const { return left_out_; }

private:
    const timeline_filter filter_;
    const std::size_t max_events_;
    std::vector<timeline_event> events_;
    std::vector<timeline_input_report> reports_;
    std::uint64_t left_out_ = 0;
};

} // namespace mjm
