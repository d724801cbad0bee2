#include "platform/error_body.h"

#include <nlohmann/json.hpp>

namespace mjm {

http_response error_response(int status, std::string_view code, std::string_view detail)
{
    http_response response;
    response.status = status;
    const nlohmann::json body{{"error", {{"code", code}, {"detail", detail}}}};
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

std::string error_code_of(const http_response& response)
{
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    const nlohmann::json* const error = body.is_object() && body.contains("error") ? &body["error"] : nullptr;
    if (error == nullptr || !error->is_object() || !error->contains("code") || !(*error)["code"].is_string())
        return {};
    return (*error)["code"].get<std::string>();
}

} // namespace mjm
