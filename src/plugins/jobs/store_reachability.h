#pragma once

#include "logging/logger.h"
#include "platform/kv_store.h"

#include <string_view>

namespace mjm {

/// Logs that a user of the store, such as a watch, has lost it or regained it.
void log_store_reachability(const logger& log, std::string_view user,
                            const tl::expected<void, store_errc>& contact);

} // namespace mjm
