#include "configuration/commit_promise.h"

#include <algorithm>

namespace mjm {

std::optional<timestamp> commit_promise::give(timestamp now)
{
    if (outstanding_ > 0)
        return std::nullopt;
    const timestamp until = now + length_;
    until_ = until_ ? std::max(*until_, until) : until;
    return until;
}

void commit_promise::commit_started(timestamp now)
{
    if (outstanding_++ == 0)
        outstanding_since_ = now;
}

std::optional<timestamp> commit_promise::outstanding_since() const
{
    return outstanding_ > 0 ? std::optional{outstanding_since_} : std::nullopt;
}

} // namespace mjm
