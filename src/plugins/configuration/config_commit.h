#pragma once

#include "configuration/commit_promise.h"
#include "configuration/config_error.h"
#include "configuration/config_head.h"
#include "core/enum_names.h"
#include "core/identifiers.h"
#include "core/time_types.h"
#include "platform/kv_store.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mjm {

/// Why a change was not applied.
enum class commit_errc {
    store_unavailable,    ///< The store could not be read or refused the write; nothing was written.
    no_configuration,     ///< The store holds no configuration yet.
    already_bootstrapped, ///< The store holds a configuration already.
    unknown_proposal,
    proposal_reused, ///< The identifier names a proposal with other content.
    bad_proposal,    ///< The identifier is not a valid name.
    version_moved,   ///< The version in force is not the one that the change was to follow.
    not_authority,   ///< The key is not one of the owner that holds the authority in this version.
    invalid,         ///< The patch or its result breaks rules; see the list of errors.
    too_large,       ///< The change does not fit into the store's values.
    not_due,         ///< The month in force has not ended.
    damaged,         ///< The stored configuration cannot be read.
};

template <>
struct enum_names<commit_errc> {
    static constexpr std::array<std::pair<commit_errc, std::string_view>, 12> entries{{
        {commit_errc::store_unavailable, "store_unavailable"},
        {commit_errc::no_configuration, "no_configuration"},
        {commit_errc::already_bootstrapped, "already_bootstrapped"},
        {commit_errc::unknown_proposal, "unknown_proposal"},
        {commit_errc::proposal_reused, "proposal_reused"},
        {commit_errc::bad_proposal, "bad_proposal"},
        {commit_errc::version_moved, "version_moved"},
        {commit_errc::not_authority, "not_authority"},
        {commit_errc::invalid, "invalid"},
        {commit_errc::too_large, "too_large"},
        {commit_errc::not_due, "not_due"},
        {commit_errc::damaged, "damaged"},
    }};
};

struct commit_refusal {
    commit_errc reason = commit_errc::store_unavailable;
    std::uint64_t current_version = 0; ///< Version in force when it was refused; 0 when not known.
    std::vector<config_error> errors;  ///< For `invalid`.
};

enum class verdict { accepted, rejected, not_applied };

template <>
struct enum_names<verdict> {
    static constexpr std::array<std::pair<verdict, std::string_view>, 3> entries{{
        {verdict::accepted, "accepted"},
        {verdict::rejected, "rejected"},
        {verdict::not_applied, "not_applied"},
    }};
};

/// What became of a proposal.
struct change_result {
    verdict outcome = verdict::not_applied;
    std::uint64_t version = 0; ///< Version that an accepted proposal made.
    commit_refusal refusal;    ///< For `not_applied`.
};

struct proposal {
    std::string id; ///< Chosen by the operator; a repeat under the same identifier applies once.
    std::uint64_t base = 0;
    std::string patch;       ///< RFC 6902 text.
    std::string proposed_by; ///< `operator:<id>` or `owner:<id>`.
    std::string comment;

    friend bool operator==(const proposal&, const proposal&) = default;
};

struct config_commit_settings {
    std::size_t max_entries = 64;      ///< Decisions in the head before they move to the history.
    std::size_t max_head = 512U << 10; ///< Bytes; replicas read the whole head after each change.
    std::size_t max_value = 1U << 20;  ///< Largest value that the store holds.
    duration retry_interval{std::chrono::milliseconds{500}};
};

/// Decides proposals. Every decision is one compare-and-swap of `config/head`. A write without an answer is
/// repeated against the same revision until the store accepts or refuses it; then the head tells whether
/// it took effect. The outcome is reported only when it is known, so a call can last as long as an outage.
class config_commit {
public:
    using result_callback = std::function<void(const change_result&)>;
    using propose_callback = std::function<void(tl::expected<void, commit_refusal>)>;
    /// The version that the patch would make.
    using dry_run_callback = std::function<void(tl::expected<std::uint64_t, commit_refusal>)>;
    using history_callback = std::function<void(tl::expected<std::vector<config_decision>, commit_refusal>)>;
    using proposals_callback = std::function<void(tl::expected<std::vector<proposal>, commit_refusal>)>;
    /// Nothing when the proposal is still open.
    using status_callback = std::function<void(tl::expected<std::optional<change_result>, commit_refusal>)>;
    using commit_callback = std::function<void(std::uint64_t, const std::string&, timestamp)>;

    config_commit(kv_store& store, commit_promise& promise, const config_commit_settings& settings);
    ~config_commit();
    config_commit(const config_commit&) = delete;
    config_commit& operator=(const config_commit&) = delete;

    /// Sends delayed and repeated writes.
    void tick(timestamp now);

    /// Creates version 1 from a document without ticket secret, which is generated here. Only when the
    /// store has no configuration; `id` makes a repeat safe.
    void bootstrap(const std::string& id, const std::string& document, wall_time wall, result_callback done);
    void propose(const proposal& change, propose_callback done);
    void dry_run(std::uint64_t base, const std::string& patch, dry_run_callback done);
    /// Commits a proposal on top of `on_version`, or of its base when that is not given. `owner_key` is
    /// checked against the authority in that version.
    void accept(const std::string& id, const std::string& owner_key, std::optional<std::uint64_t> on_version,
                wall_time wall, result_callback done);
    void reject(const std::string& id, const std::string& owner_key, const std::string& comment,
                wall_time wall, result_callback done);
    /// Puts the calendar's owner of the current month in force, as a numbered change by the system. Waits
    /// for `max_clock_skew` after the month's start, so that no host's clock still shows the old month.
    void advance_month(wall_time wall, result_callback done);

    /// What became of a proposal so far.
    void status(const std::string& id, status_callback done);
    /// Newest first, at most `limit`.
    void history(std::size_t limit, const history_callback& done);
    /// Proposals that are neither accepted nor rejected.
    void open_proposals(const proposals_callback& done);

    /// Called for each version committed here, with its text and a time at which nothing newer existed.
    /// Set before the first commit; the local replica must take the version before the next promise.
    void on_commit(commit_callback callback);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
