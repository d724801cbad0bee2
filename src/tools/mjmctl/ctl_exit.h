#pragma once

namespace mjm {

/// Exit codes of `mjmctl`; docs/mjmctl.md lists them for operators.
enum class ctl_exit {
    done = 0,
    failed = 1,          ///< No server answered, or the one that did could not work.
    usage = 2,           ///< Wrong command line, input file or settings.
    refused = 3,         ///< The change or the key was refused; nothing was applied.
    timed_out = 4,       ///< Known outcome, but not in force everywhere in time.
    outcome_unknown = 5, ///< The change may or may not have been applied.
};

} // namespace mjm
