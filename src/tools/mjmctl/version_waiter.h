#pragma once

#include "admin_session.h"
#include "wait_clock.h"

#include <functional>

namespace mjm {

/// Waits until a proposal is decided and the version that it made is in force everywhere.
class version_waiter {
public:
    using progress_callback = std::function<void(const std::string&)>;

    version_waiter(admin_session& session, wait_clock& time, duration limit, progress_callback progress)
        : session_{session}, time_{time}, limit_{limit}, progress_{std::move(progress)}
    {
    }

    /// `done`, `refused` when the proposal is rejected, or `timed_out`.
    [[nodiscard]] ctl_exit wait_for_proposal(const std::string& id);
    [[nodiscard]] ctl_exit wait_for_version(std::uint64_t version);

private:
    /// Polls until `step` returns an exit code or the time is over.
    [[nodiscard]] ctl_exit poll(timestamp deadline, const admin_call& ask,
                                const std::function<std::optional<ctl_exit>(const admin_answer&)>& step);
    [[nodiscard]] ctl_exit wait_until(timestamp deadline, std::uint64_t version);
    void report(const std::string& line);

    admin_session& session_;
    wait_clock& time_;
    duration limit_;
    progress_callback progress_;
    std::string last_report_;
};

} // namespace mjm
