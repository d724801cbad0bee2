#pragma once

#include "admin_session.h"
#include "change_submitter.h"
#include "command.h"
#include "granted_key.h"
#include "wait_clock.h"

#include <functional>
#include <iosfwd>

namespace mjm {

struct runner_io {
    std::ostream& out;      ///< Results only.
    std::ostream& messages; ///< Progress and errors.
    /// Text of a file, or nothing when it cannot be read; "-" is standard input.
    std::function<std::optional<std::string>(const std::string&)> read_file;
    /// Asks the operator; false also when nobody can be asked.
    std::function<bool(const std::string&)> confirm;
};

/// Carries out one command.
class command_runner {
public:
    command_runner(admin_client& client, wait_clock& time, runner_io io)
        : session_{client}, time_{time}, io_{std::move(io)}
    {
    }

    [[nodiscard]] ctl_exit run(command what);

private:
    [[nodiscard]] ctl_exit read(const command& what);
    [[nodiscard]] ctl_exit print_answer(const command& what, const admin_answer& answer);
    [[nodiscard]] ctl_exit print_team_keys(const command& what, const admin_answer& answer);
    [[nodiscard]] ctl_exit make_identifiers(command& what, granted_key& key);
    [[nodiscard]] ctl_exit change_configuration(command what);
    [[nodiscard]] ctl_exit plan(const command& what, const change& c);
    [[nodiscard]] ctl_exit submit(const command& what, const change& c, const granted_key& key);
    [[nodiscard]] ctl_exit status(const command& what);
    [[nodiscard]] ctl_exit timeline();
    [[nodiscard]] bool print_timeline(std::size_t server);
    [[nodiscard]] ctl_exit fail(ctl_exit code, const std::string& message);
    [[nodiscard]] ctl_exit fail(const tl::expected<admin_answer, send_failure>& answer);

    admin_session session_;
    wait_clock& time_;
    runner_io io_;
};

} // namespace mjm
