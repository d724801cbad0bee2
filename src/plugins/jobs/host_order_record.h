#pragma once

#include "core/enum_names.h"
#include "core/identifiers.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mjm {

enum class host_order_kind { move, maintain };

template <>
struct enum_names<host_order_kind> {
    static constexpr std::array<std::pair<host_order_kind, std::string_view>, 2> entries{{
        {host_order_kind::move, "move"},
        {host_order_kind::maintain, "maintain"},
    }};
};

/// An order to a host that a leader may have sent.
struct host_order {
    host_order_kind kind = host_order_kind::move;
    std::string wave; ///< Name of the wave; only for `maintain`.
    service_id pool;  ///< Destination pool; only for `move`.
    target_id target; ///< Target on the host that the order ends.

    friend bool operator==(const host_order&, const host_order&) = default;
};

/// Orders by host.
using host_order_record = std::map<std::string, host_order>;

[[nodiscard]] std::string encode_host_orders(const host_order_record& orders);
/// Returns std::nullopt if the text is not a record of orders.
[[nodiscard]] std::optional<host_order_record> decode_host_orders(std::string_view text);

} // namespace mjm
