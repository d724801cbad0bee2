#pragma once

#include "timeline/timeline.h"

#include <cstdint>
#include <fstream>
#include <ostream>
#include <string>

namespace mjm {

enum class timeline_write_errc {
    not_open, ///< The file could not be opened.
    failed,   ///< The output no longer takes data; the events of this call are lost.
};

template <>
struct enum_names<timeline_write_errc> {
    static constexpr std::array<std::pair<timeline_write_errc, std::string_view>, 2> entries{{
        {timeline_write_errc::not_open, "not_open"},
        {timeline_write_errc::failed, "failed"},
    }};
};

/// Appends a timeline's events to a file or standard output as JSON lines. Belongs to one thread, usually
/// the tick of a `duty_thread`; a slow output delays only that thread, and events that are dropped
/// meanwhile appear as one `events_dropped` line.
class timeline_writer {
public:
    /// `file` "-" is standard output.
    timeline_writer(const timeline& source, const std::string& file);
    timeline_writer(const timeline& source, std::ostream& output) : source_{source}, output_{&output} {}

    /// Writes all events recorded since the last call; returns their number.
    tl::expected<std::uint64_t, timeline_write_errc> write_new();
    [[nodiscard]] std::uint64_t missed() const { return missed_; }

private:
    const timeline& source_;
    std::ofstream file_;
    std::ostream* output_ = nullptr; ///< Null when the file could not be opened.
    std::uint64_t next_ = 0;
    std::uint64_t missed_ = 0;
};

} // namespace mjm
