#pragma once

#include "net/http_message.h"

#include <nlohmann/json.hpp>

namespace review {

inline mjm::http_response answer_of(const nlohmann::json& body, int status = 200)
{
    mjm::http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

/// Ends the connection without an answer.
inline mjm::http_response dropped()
{
    mjm::http_response response;
    response.status = 0;
    return response;
}

} // namespace review
