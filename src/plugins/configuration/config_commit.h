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

/// Why a call of `config_commit` failed.
enum class commit_errc {
    store_unavailable,    ///< The store could not be read or refused the write; nothing was written.
    no_configuration,     ///< The store holds no configuration yet.
    already_bootstrapped, ///< The store holds a configuration already.
    unknown_proposal,     ///< No proposal has this identifier.
    proposal_reused,      ///< The identifier names a proposal with other content.
    bad_proposal,         ///< The identifier is not a valid name.
    version_moved,        ///< The version in force is not the one that the patch must be applied to.
    not_authority,        ///< The key does not belong to the owner that holds the authority in this version.
    invalid,              ///< The patch or its result breaks rules; see `commit_refusal::errors`.
    too_large,            ///< The proposal or the head exceeds the size limit of the store's values.
    not_due,              ///< The month in force has not ended.
    damaged,              ///< A stored value cannot be decoded, or a stored patch does not apply.
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

/// Why and at which version a call failed.
struct commit_refusal {
    commit_errc reason = commit_errc::store_unavailable;
    std::uint64_t current_version = 0; ///< Version in force at the refusal; 0 if unknown.
    std::vector<config_error> errors;  ///< Set for `invalid`.
};

/// Whether a proposal was accepted, was rejected or was not decided by the call.
enum class verdict { accepted, rejected, not_applied };

template <>
struct enum_names<verdict> {
    static constexpr std::array<std::pair<verdict, std::string_view>, 3> entries{{
        {verdict::accepted, "accepted"},
        {verdict::rejected, "rejected"},
        {verdict::not_applied, "not_applied"},
    }};
};

/// Result of a proposal or of a call that decides one.
struct change_result {
    verdict outcome = verdict::not_applied;
    std::uint64_t version = 0; ///< Version created by an accepted proposal.
    commit_refusal refusal;    ///< Set for `not_applied`.
};

/// A patch proposed by an operator or owner.
struct proposal {
    std::string id; ///< Chosen by the operator. A proposal sent again under its identifier applies once.
    std::uint64_t base = 0;  ///< Version that the patch was written against.
    std::string patch;       ///< RFC 6902 text.
    std::string proposed_by; ///< `operator:<id>` or `owner:<id>`.
    std::string comment;

    friend bool operator==(const proposal&, const proposal&) = default;
};

struct config_commit_settings {
    std::size_t max_entries = 64;      ///< Most decisions in the head before they move to the history.
    std::size_t max_head = 512U << 10; ///< Most bytes; replicas read the whole head after each decision.
    std::size_t max_value = 1U << 20;  ///< Most bytes of a value in the store.
    duration retry_interval{std::chrono::milliseconds{500}}; ///< Between attempts to reach the store.
};

/// Commits decisions on proposals. Every decision is one compare-and-swap of `config/head`. A write whose
/// effect is unknown is repeated against the same revision until the store accepts it or reports a conflict;
/// after a conflict, the head shows whether the write took effect. A result is reported only once it is
/// known, so a call can last as long as an outage of the store.
class config_commit {
public:
    using result_callback = std::function<void(const change_result&)>;
    using propose_callback = std::function<void(tl::expected<void, commit_refusal>)>;
    /// Receives the version that the patch would create.
    using dry_run_callback = std::function<void(tl::expected<std::uint64_t, commit_refusal>)>;
    using history_callback = std::function<void(tl::expected<std::vector<config_decision>, commit_refusal>)>;
    using proposals_callback = std::function<void(tl::expected<std::vector<proposal>, commit_refusal>)>;
    /// Receives std::nullopt if the proposal has not been decided.
    using status_callback = std::function<void(tl::expected<std::optional<change_result>, commit_refusal>)>;
    using commit_callback = std::function<void(std::uint64_t, const std::string&, timestamp)>;

    config_commit(kv_store& store, commit_promise& promise, const config_commit_settings& settings);
    ~config_commit();
    config_commit(const config_commit&) = delete;
    config_commit& operator=(const config_commit&) = delete;

    /// Sends delayed commits, and repeats calls to the store that are due.
    void tick(timestamp now);

    /// Creates version 1 from a document without a ticket secret, which is generated here. Fails if the store
    /// holds a configuration, unless that was created under the same `id`; a call can therefore be repeated.
    void bootstrap(const std::string& id, const std::string& document, wall_time wall, result_callback done);
    /// Stores a proposal after checking that its patch applies to its base, the version in force. Succeeds
    /// without a write if the same proposal is stored already, or if its identifier is that of a decided one.
    void propose(const proposal& proposed, propose_callback done);
    /// Checks whether the patch could be committed on top of `base`, the version in force.
    void dry_run(std::uint64_t base, const std::string& patch, dry_run_callback done);
    /// Commits a proposal on top of `on_version`, or of its base if that is not given. `owner_key` must
    /// belong to the owner that holds the authority in that version.
    void accept(const std::string& id, const std::string& owner_key, std::optional<std::uint64_t> on_version,
                wall_time wall, result_callback done);
    /// Records that a proposal is rejected. `owner_key` must belong to the owner that holds the authority in
    /// the version in force.
    void reject(const std::string& id, const std::string& owner_key, const std::string& comment,
                wall_time wall, result_callback done);
    /// Gives the authority to the calendar's owner of the month of `wall`, as a new version by the system.
    /// Fails with `not_due` until `max_clock_skew` after the month's start, so that no host's clock still
    /// shows the previous month.
    void advance_month(wall_time wall, result_callback done);

    /// Reads the decision on a proposal.
    void status(const std::string& id, status_callback done);
    /// Reads at most `limit` decisions, newest first.
    void history(std::size_t limit, const history_callback& done);
    /// Reads the proposals that are neither accepted nor rejected.
    void open_proposals(const proposals_callback& done);

    /// Sets the callback for each version committed here. It receives the version, its text and a time at
    /// which no newer version existed. Must be set before the first commit, because the local replica must
    /// install the version before the next promise is given.
    void on_commit(commit_callback callback);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
