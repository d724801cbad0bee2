#pragma once

namespace mjm::http_code {

inline constexpr int ok = 200;
inline constexpr int bad_request = 400;
inline constexpr int unauthorized = 401;
inline constexpr int not_found = 404;
inline constexpr int method_not_allowed = 405;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int precondition_failed = 412;
inline constexpr int payload_too_large = 413;
inline constexpr int misdirected_request = 421;
inline constexpr int too_many_requests = 429;
inline constexpr int not_implemented = 501;
inline constexpr int service_unavailable = 503;
inline constexpr int gateway_timeout = 504;

} // namespace mjm::http_code
