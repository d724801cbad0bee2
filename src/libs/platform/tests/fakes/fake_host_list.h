#pragma once

#include "call_pump.h"
#include "platform/host_list.h"

#include <utility>
#include <vector>

namespace mjm {

/// Host list driven by a `call_pump`; the message label is `host_list`. Lag is imitated by setting the list
/// later than the targets change.
class fake_host_list final : public host_list {
public:
    explicit fake_host_list(call_pump& pump) : pump_{pump} {}

    void read(read_callback done) override;

    void set(std::vector<listed_host> hosts) { hosts_ = std::move(hosts); }
    void set_unreachable(bool on) { unreachable_ = on; }

private:
    call_pump& pump_;
    std::vector<listed_host> hosts_;
    bool unreachable_ = false;
};

} // namespace mjm
