#include "admin_answer.h"

namespace mjm {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_pending = 202;
constexpr int status_redirect = 300;
constexpr int status_client_error = 400;
constexpr int status_server_error = 500;
constexpr int status_unavailable = 503;

void decode_error(const json& error, admin_answer& answer)
{
    answer.error_code = error.at("code").get<std::string>();
    answer.error_detail = error.value("detail", "");
    answer.version = error.value("current_version", std::uint64_t{0});
    for (const json& entry : error.value("errors", json::array()))
        answer.errors.push_back({entry.at("rule").get<std::string>(), entry.at("pointer").get<std::string>(),
                                 entry.at("detail").get<std::string>()});
}

} // namespace

bool admin_answer::succeeded() const
{
    return status >= status_ok && status < status_redirect && status != status_pending;
}

bool admin_answer::unavailable() const
{
    return status == status_unavailable;
}

bool admin_answer::uncertain() const
{
    return status == status_pending ||
           (status >= status_server_error && !unavailable() && outcome != "not_applied");
}

std::optional<admin_answer> decode_answer(int status, std::string_view body)
{
    admin_answer answer;
    answer.status = status;
    answer.body = json::parse(body, nullptr, false);
    if (!answer.body.is_object())
        return std::nullopt;
    try {
        answer.outcome = answer.body.value("outcome", "");
        if (answer.outcome == "accepted")
            answer.version = answer.body.at("version").get<std::uint64_t>();
        if (status >= status_client_error)
            decode_error(answer.body.at("error"), answer);
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return answer;
}

ctl_exit exit_code_of(const admin_answer& answer)
{
    if (answer.status == status_pending)
        return ctl_exit::outcome_unknown;
    if (answer.succeeded())
        return ctl_exit::done;
    return answer.status >= status_client_error && answer.status < status_server_error ? ctl_exit::refused
                                                                                       : ctl_exit::failed;
}

std::string describe_error(const admin_answer& answer)
{
    std::string text = answer.error_code;
    if (!answer.error_detail.empty())
        text += ": " + answer.error_detail;
    if (answer.version != 0)
        text += " (version in force: " + std::to_string(answer.version) + ")";
    for (const broken_rule& error : answer.errors)
        text += "\n  " + error.rule + " at " + error.pointer + ": " + error.detail;
    return text;
}

} // namespace mjm
