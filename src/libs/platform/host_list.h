#pragma once

#include "core/enum_names.h"
#include "core/identifiers.h"
#include "platform/kv_store.h"

#include <functional>
#include <vector>

namespace mjm {

enum class host_state { live, leaving };

template <>
struct enum_names<host_state> {
    static constexpr std::array<std::pair<host_state, std::string_view>, 2> entries{{
        {host_state::live, "live"},
        {host_state::leaving, "leaving"},
    }};
};

struct listed_host {
    target_id id;
    host_state state = host_state::live;
};

/// The platform's list of target hosts. It lags behind reality: a listed host may already be gone.
class host_list {
public:
    using read_callback = std::function<void(tl::expected<std::vector<listed_host>, store_errc>)>;

    host_list() = default;
    host_list(const host_list&) = delete;
    host_list& operator=(const host_list&) = delete;
    virtual ~host_list() = default;

    virtual void read(read_callback done) = 0;
};

} // namespace mjm
