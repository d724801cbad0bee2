#pragma once

#include "logging/logger.h"
#include "platform/kv_store.h"

#include <string_view>

namespace mjm {

/// Logs that the store has become reachable or unreachable for `user`, such as a watch.
void log_store_reachability(const logger& log, std::string_view user,
                            const tl::expected<void, store_errc>& reachability);

} // namespace mjm
