#include "version_waiter.h"

#include "answer_tables.h"

namespace mjm {

namespace {

constexpr duration poll_interval{std::chrono::milliseconds{500}};

} // namespace

void version_waiter::report(const std::string& line)
{
    if (line != last_report_)
        progress_(line);
    last_report_ = line;
}

ctl_exit version_waiter::poll(timestamp deadline, const admin_call& ask,
                              const std::function<std::optional<ctl_exit>(const admin_answer&)>& step)
{
    while (true) {
        const tl::expected<admin_answer, send_failure> answer = session_.send(ask);
        if (!answer)
            report("no server answers");
        else if (!answer->succeeded())
            report(describe_error(*answer));
        else if (const std::optional<ctl_exit> end = step(*answer))
            return *end;
        if (time_.now() >= deadline)
            return ctl_exit::timed_out;
        time_.pause(poll_interval);
    }
}

ctl_exit version_waiter::wait_for_proposal(const std::string& id)
{
    const timestamp deadline = time_.now() + limit_;
    admin_call ask;
    ask.path = "/admin/v1/proposals/" + id;
    std::uint64_t version = 0;
    const ctl_exit decided =
        poll(deadline, ask, [this, &id, &version](const admin_answer& answer) -> std::optional<ctl_exit> {
            if (answer.outcome == "rejected") {
                report("proposal " + id + " is rejected");
                return ctl_exit::refused;
            }
            if (answer.outcome != "accepted") {
                report("proposal " + id + " is " + answer.outcome);
                return std::nullopt;
            }
            version = answer.version;
            return ctl_exit::done;
        });
    return decided == ctl_exit::done ? wait_until(deadline, version) : decided;
}

ctl_exit version_waiter::wait_for_version(std::uint64_t version)
{
    return wait_until(time_.now() + limit_, version);
}

ctl_exit version_waiter::wait_until(timestamp deadline, std::uint64_t version)
{
    admin_call ask;
    ask.path = "/admin/v1/versions/" + std::to_string(version);
    return poll(deadline, ask, [this, version](const admin_answer& answer) -> std::optional<ctl_exit> {
        report("version " + std::to_string(version) + ": " + describe_progress(answer.body));
        const auto everywhere = answer.body.find("in_force_everywhere");
        if (everywhere != answer.body.end() && everywhere->is_boolean() && everywhere->get<bool>())
            return ctl_exit::done;
        return std::nullopt;
    });
}

} // namespace mjm
