#include "logging/logger.h"

namespace mjm {

void logger::write_named(log_level level, std::string_view event, fields values) const
{
    sink_->write(level, component_, event, std::span<const log_field>{values.begin(), values.size()});
}

} // namespace mjm
