#include "jobs/host_order_record.h"

#include <nlohmann/json.hpp>

namespace mjm {

std::string encode_host_orders(const host_order_record& orders)
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto& [host, order] : orders)
        out[host] = {{"kind", name_of(order.kind)},
                     {"wave", order.wave},
                     {"pool", order.pool.str()},
                     {"target", order.target.str()}};
    return out.dump();
}

std::optional<host_order_record> decode_host_orders(std::string_view text)
{
    try {
        host_order_record out;
        const nlohmann::json in = nlohmann::json::parse(text);
        for (const auto& [host, row] : in.items()) {
            const std::optional<host_order_kind> kind =
                parse_enum<host_order_kind>(row.at("kind").get<std::string>());
            if (!kind)
                return std::nullopt;
            out[host] = {*kind, row.at("wave").get<std::string>(),
                         service_id{row.at("pool").get<std::string>()},
                         target_id{row.at("target").get<std::string>()}};
        }
        return out;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace mjm
