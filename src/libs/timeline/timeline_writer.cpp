#include "timeline/timeline_writer.h"

#include <iostream>

namespace mjm {

namespace {

constexpr std::size_t batch_size = 1000;

} // namespace

timeline_writer::timeline_writer(const timeline& source, const std::string& file) : source_{source}
{
    if (file == "-") {
        output_ = &std::cout;
        return;
    }
    file_.open(file, std::ios::app);
    if (file_)
        output_ = &file_;
}

tl::expected<std::uint64_t, timeline_write_errc> timeline_writer::write_new()
{
    if (output_ == nullptr)
        return tl::make_unexpected(timeline_write_errc::not_open);
    std::uint64_t written = 0;
    for (;;) {
        const timeline_batch batch = source_.fetch(next_, batch_size);
        if (batch.events.empty())
            break;
        next_ = batch.next;
        if (batch.missed > 0) {
            missed_ += batch.missed;
            timeline_event gap = batch.events.front();
            gap.kind = timeline_kind::events_dropped;
            gap.fields = timeline_fields{};
            gap.fields.detail = std::to_string(batch.missed);
            *output_ << to_json(gap) << '\n';
        }
        for (const timeline_event& event : batch.events)
            *output_ << to_json(event) << '\n';
        written += batch.events.size();
    }
    output_->flush();
    if (!*output_) {
        // Without this a full disk would end the output for good.
        output_->clear();
        return tl::make_unexpected(timeline_write_errc::failed);
    }
    return written;
}

} // namespace mjm
