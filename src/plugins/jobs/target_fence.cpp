#include "jobs/target_fence.h"

namespace mjm {

fencing_token target_fence::raise(fencing_token latest, timestamp now)
{
    if (raise_due_ && latest > token_) {
        token_ = latest;
        raise_due_ = false;
        raised_at_ = now;
    }
    return token_;
}

} // namespace mjm
