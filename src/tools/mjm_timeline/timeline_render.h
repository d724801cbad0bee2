#pragma once

#include "timeline/timeline_event.h"

#include <string>
#include <vector>

namespace mjm {

/// One line an event, with times relative to the first one.
[[nodiscard]] std::string render_text(const std::vector<timeline_event>& events);
/// One JSON object a line, readable as input again.
[[nodiscard]] std::string render_json(const std::vector<timeline_event>& events);
/// A page with one SVG picture and no outside references: one lane per host, time from left to right, a
/// mark per event with its text as a tooltip. A line joins the events of a request across lanes when all
/// events belong to one request.
[[nodiscard]] std::string render_html(const std::vector<timeline_event>& events);

} // namespace mjm
