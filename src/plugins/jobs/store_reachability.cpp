#include "jobs/store_reachability.h"

namespace mjm {

void log_store_reachability(const logger& log, std::string_view user,
                            const tl::expected<void, store_errc>& contact)
{
    if (contact)
        log.info("store_regained", {{"user", user}});
    else
        log.warn("store_lost", {{"user", user}, {"error", name_of(contact.error())}});
}

} // namespace mjm
