#include "jobs/store_reachability.h"

namespace mjm {

void log_store_reachability(const logger& log, std::string_view user,
                            const tl::expected<void, store_errc>& reachability)
{
    if (reachability)
        log.info("store_regained", {{"user", user}});
    else
        log.warn("store_lost", {{"user", user}, {"error", name_of(reachability.error())}});
}

} // namespace mjm
