#include "configuration/config_commit.h"

#include "configuration/config_codec.h"
#include "configuration/config_patch.h"
#include "configuration/config_validator.h"
#include "configuration/key_hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace mjm {

namespace {

using json = nlohmann::json;

constexpr std::string_view proposal_prefix = "config/proposal/";
constexpr std::string_view system_prefix = "system.";
constexpr std::size_t secret_bytes = 32;
// Limits the search for an identifier without a stored proposal; at 64 decisions in each chunk, about
// a day.
constexpr int max_history_chunks = 16;

std::string proposal_key(const std::string& id)
{
    return std::string{proposal_prefix} + id;
}

std::string encode_proposal(const proposal& proposed)
{
    const json out = {{"id", proposed.id},
                      {"base", proposed.base},
                      {"patch", proposed.patch},
                      {"proposed_by", proposed.proposed_by},
                      {"comment", proposed.comment}};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<proposal> decode_proposal(const std::string& text)
{
    try {
        const json in = json::parse(text);
        proposal proposed;
        in.at("id").get_to(proposed.id);
        in.at("base").get_to(proposed.base);
        in.at("patch").get_to(proposed.patch);
        in.at("proposed_by").get_to(proposed.proposed_by);
        in.at("comment").get_to(proposed.comment);
        return proposed;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

/// "YYYY-MM" of a wall-clock time in UTC.
std::string month_of(wall_time wall)
{
    const std::chrono::year_month_day date{std::chrono::floor<std::chrono::days>(wall)};
    const unsigned month = static_cast<unsigned>(date.month());
    return std::to_string(static_cast<int>(date.year())) + (month < 10 ? "-0" : "-") + std::to_string(month);
}

change_result result_of(const config_decision& entry)
{
    change_result result;
    result.outcome = entry.kind == decision::accepted ? verdict::accepted : verdict::rejected;
    result.version = entry.kind == decision::accepted ? entry.version : 0;
    return result;
}

const config_decision* find_entry(const config_head& head, const std::string& id)
{
    const auto it = std::find_if(head.entries.begin(), head.entries.end(),
                                 [&id](const config_decision& entry) { return entry.proposal == id; });
    return it == head.entries.end() ? nullptr : &*it;
}

enum class operation_kind { bootstrap, accept, reject, advance_month, status, dry_run, propose };

/// State of one call from its start until its result is reported.
struct operation {
    operation_kind kind = operation_kind::status;
    std::string id;
    std::string owner_key;
    std::string comment;
    std::string document;
    std::optional<std::uint64_t> on_version;
    wall_time wall{};
    std::optional<proposal> proposed; ///< Not set while the stored proposal has not been read.
    std::function<void(const change_result&, bool decided)> done;

    config_head head; ///< Head that the decision is based on; version 0 before bootstrap.
    std::string head_text;
    store_revision revision = 0;

    config_head next;                     ///< Head with the decision.
    std::string next_text;                ///< Document of the new version; empty for a rejection.
    store_revision replaced_revision = 0; ///< Revision that the write of `next` replaces.
    bool write_outstanding = false; ///< A write was sent, and `commit_promise` counts it as outstanding.
    bool effect_unknown = false;    ///< A write may have taken effect without being acknowledged.
    std::uint64_t oldest_decision_version =
        0;               ///< A decision on the proposal cannot be older than this version.
    timestamp sent_at{}; ///< When the write of `next` was last sent.
};

using operation_ptr = std::shared_ptr<operation>;

} // namespace

class config_commit::impl : public std::enable_shared_from_this<config_commit::impl> {
public:
    impl(kv_store& store, commit_promise& promise, const config_commit_settings& settings)
        : store_{store}, promise_{promise}, settings_{settings}
    {
    }

    /// Wraps a callback of the store so that it does nothing after the destruction of this object.
    template <typename Call>
    auto bind(Call call)
    {
        return [self = weak_from_this(), call = std::move(call)](auto answer) mutable {
            if (const std::shared_ptr<impl> alive = self.lock())
                call(*alive, std::move(answer));
        };
    }

    void tick(timestamp now)
    {
        now_ = now;
        if (promise_.may_commit(now)) {
            for (const operation_ptr& op : std::exchange(delayed_, {}))
                send(op);
        }
        std::vector<std::pair<timestamp, std::function<void()>>> later;
        for (auto& entry : std::exchange(retries_, {})) {
            if (entry.first <= now)
                entry.second();
            else
                later.push_back(std::move(entry));
        }
        retries_.insert(retries_.end(), std::make_move_iterator(later.begin()),
                        std::make_move_iterator(later.end()));
    }

    void start(const operation_ptr& op)
    {
        const bool stored = op->kind == operation_kind::accept || op->kind == operation_kind::reject ||
                            op->kind == operation_kind::status;
        if (!stored || op->id.starts_with(system_prefix)) {
            load_head(op);
            return;
        }
        store_.get(proposal_key(op->id), 0, bind([op](impl& self, tl::expected<kv_read, store_errc> answer) {
                       if (answer) {
                           op->proposed = decode_proposal(answer->entry.value);
                           if (!op->proposed) {
                               self.refuse(op, commit_errc::damaged);
                               return;
                           }
                           op->oldest_decision_version = op->proposed->base;
                       } else if (answer.error() != store_errc::not_found) {
                           self.refuse(op, commit_errc::store_unavailable);
                           return;
                       }
                       self.load_head(op);
                   }));
    }

    void propose(const proposal& proposed, propose_callback done)
    {
        const tl::expected<void, config_error> syntax = check_patch_syntax(proposed.patch);
        commit_refusal refusal;
        if (!is_valid_name(proposed.id) || proposed.id.starts_with(system_prefix)) {
            refusal.reason = commit_errc::bad_proposal;
        } else if (!syntax) {
            refusal.reason = commit_errc::invalid;
            refusal.errors.push_back(syntax.error());
        } else if (encode_proposal(proposed).size() > settings_.max_value) {
            refusal.reason = commit_errc::too_large;
        } else {
            read_proposal(proposed, done, true);
            return;
        }
        // Callbacks are never called before the call returns.
        retries_.emplace_back(now_, [done = std::move(done), refusal] { done(tl::unexpected{refusal}); });
    }

    void history(std::size_t limit, const history_callback& done)
    {
        read_history(std::string{config_head_key}, limit, {}, done);
    }

    void open_proposals(const proposals_callback& done)
    {
        store_.list(std::string{proposal_prefix},
                    bind([done](impl& self, tl::expected<std::vector<kv_entry>, store_errc> listed) {
                        if (!listed) {
                            done(refusal_of(commit_errc::store_unavailable));
                            return;
                        }
                        self.filter_open(*listed, done);
                    }));
    }

    commit_callback on_commit_;

private:
    static tl::unexpected<commit_refusal> refusal_of(commit_errc reason)
    {
        commit_refusal refusal;
        refusal.reason = reason;
        return tl::unexpected{refusal};
    }

    void finish(const operation_ptr& op, const change_result& result, bool decided = true)
    {
        if (std::exchange(op->write_outstanding, false))
            promise_.commit_resolved();
        op->done(result, decided);
    }

    void refuse(const operation_ptr& op, commit_errc reason, std::vector<config_error> errors = {})
    {
        change_result result;
        result.refusal = commit_refusal{reason, op->head.version, std::move(errors)};
        finish(op, result);
    }

    template <typename Call>
    void retry(Call call)
    {
        retries_.emplace_back(now_ + settings_.retry_interval, std::move(call));
    }

    // --- Reading -----------------------------------------------------------------------------------

    void load_head(const operation_ptr& op)
    {
        store_.get(std::string{config_head_key}, 0,
                   bind([op](impl& self, const tl::expected<kv_read, store_errc>& answer) {
                       self.head_loaded(op, answer);
                   }));
    }

    void head_loaded(const operation_ptr& op, const tl::expected<kv_read, store_errc>& answer)
    {
        if (!answer && answer.error() == store_errc::not_found) {
            if (op->kind == operation_kind::bootstrap)
                decide(op, "");
            else
                refuse(op, commit_errc::no_configuration);
            return;
        }
        if (!answer) {
            // Only the head shows whether a write that was sent has taken effect.
            if (op->write_outstanding)
                retry([this, op] { load_head(op); });
            else
                refuse(op, commit_errc::store_unavailable);
            return;
        }
        const store_revision revision = answer->entry.revision;
        if (op->write_outstanding && revision == op->replaced_revision) {
            retry([this, op] { put_head(op); });
            return;
        }
        std::optional<config_head> head = decode_head(answer->entry.value);
        if (!head) {
            refuse(op, commit_errc::damaged);
            return;
        }
        op->head = std::move(*head);
        // The document shows whether the month is in force, so older decisions need no search.
        if (op->kind == operation_kind::advance_month && op->oldest_decision_version == 0)
            op->oldest_decision_version = op->head.version;
        op->head_text = answer->entry.value;
        op->revision = revision;
        find_decision(op, op->head, 0);
    }

    /// Searches `head`, and then the history as far as needed, for a decision on the proposal.
    void find_decision(const operation_ptr& op, const config_head& head, int chunks_read)
    {
        if (op->kind == operation_kind::dry_run) {
            load_document(op);
            return;
        }
        const config_decision* const entry = find_entry(head, op->id);
        if (entry != nullptr) {
            const bool own = op->write_outstanding && entry->kind == decision::accepted &&
                             entry->version == op->next.version && !op->next_text.empty();
            if (own && on_commit_)
                on_commit_(entry->version, op->next_text, op->sent_at);
            finish(op, result_of(*entry));
            return;
        }
        const bool older = !head.history.empty() && head.snapshot_version >= op->oldest_decision_version;
        // For a stored proposal or a sent write, the search must reach its base: a missed decision
        // would be applied twice.
        const bool bounded = !op->proposed && !op->write_outstanding;
        if (!older || (bounded && chunks_read >= max_history_chunks)) {
            handle_undecided(op);
            return;
        }
        store_.get(
            head.history, 0,
            bind([op, chunks_read, key = head.history](impl& self, tl::expected<kv_read, store_errc> answer) {
                const std::optional<config_head> chunk =
                    answer ? decode_head(answer->entry.value) : std::nullopt;
                if (chunk)
                    self.find_decision(op, *chunk, chunks_read + 1);
                else if (op->write_outstanding)
                    self.retry([&self, op] { self.load_head(op); });
                else
                    self.refuse(op, answer ? commit_errc::damaged : commit_errc::store_unavailable);
            }));
    }

    void handle_undecided(const operation_ptr& op)
    {
        // The head has a newer revision without this write, so the write can no longer take effect.
        if (std::exchange(op->write_outstanding, false))
            promise_.commit_resolved();
        op->effect_unknown = false;
        if (op->kind == operation_kind::bootstrap) {
            refuse(op, commit_errc::already_bootstrapped);
            return;
        }
        const bool needs_proposal = op->kind == operation_kind::accept ||
                                    op->kind == operation_kind::reject || op->kind == operation_kind::status;
        if (needs_proposal && !op->proposed) {
            refuse(op, commit_errc::unknown_proposal);
            return;
        }
        if (op->kind == operation_kind::status) {
            finish(op, change_result{}, false);
            return;
        }
        load_document(op);
    }

    /// Loads the document of the head's version, from the cached text or from the snapshot.
    void load_document(const operation_ptr& op)
    {
        const config_head& head = op->head;
        if (text_version_ >= head.snapshot_version && text_version_ <= head.version && text_version_ != 0) {
            replay(op, text_, text_version_);
            return;
        }
        if (head.snapshot_version == 0) {
            replay(op, "", 0);
            return;
        }
        store_.get(config_snapshot_key(head.snapshot_version), 0,
                   bind([op](impl& self, tl::expected<kv_read, store_errc> answer) {
                       if (answer)
                           self.replay(op, answer->entry.value, op->head.snapshot_version);
                       else if (answer.error() == store_errc::not_found)
                           self.load_head(op); // A newer snapshot has replaced it since the head was read.
                       else
                           self.refuse(op, commit_errc::store_unavailable);
                   }));
    }

    void replay(const operation_ptr& op, std::string text, std::uint64_t reached)
    {
        for (const config_decision& entry : op->head.entries) {
            if (entry.kind != decision::accepted || entry.version <= reached)
                continue;
            tl::expected<std::string, config_error> next = apply_patch(text, entry.patch, entry.version);
            if (!next) {
                refuse(op, commit_errc::damaged, {next.error()});
                return;
            }
            text = std::move(*next);
        }
        text_ = text;
        text_version_ = op->head.version;
        decide(op, text);
    }

    // --- Deciding ----------------------------------------------------------------------------------

    void decide(const operation_ptr& op, const std::string& text)
    {
        tl::expected<fleet_config, config_error> current = tl::unexpected{config_error{}};
        if (!text.empty()) {
            current = decode_config(text);
            if (!current) {
                refuse(op, commit_errc::damaged, {current.error()});
                return;
            }
        }
        config_decision entry;
        entry.proposal = op->id;
        entry.version = op->head.version;
        entry.base = op->head.version;
        entry.comment = op->comment;
        entry.decided_by = "system";
        entry.proposed_by = "system";
        entry.decided_at_s = std::chrono::floor<std::chrono::seconds>(op->wall.time_since_epoch()).count();
        if (op->proposed) {
            entry.base = op->proposed->base;
            entry.patch = op->proposed->patch;
            entry.proposed_by = op->proposed->proposed_by;
            if (op->kind == operation_kind::accept)
                entry.comment = op->proposed->comment;
        }
        if (op->kind == operation_kind::accept || op->kind == operation_kind::reject) {
            const std::optional<owner_id> owner = current->authenticate_owner(op->owner_key);
            if (!owner || *owner != current->authority) {
                refuse(op, commit_errc::not_authority);
                return;
            }
            entry.decided_by = "owner:" + owner->str();
        }
        if (op->kind == operation_kind::advance_month && !prepare_month(op, *current, entry))
            return;
        if (op->kind == operation_kind::bootstrap)
            entry.patch = op->document;
        op->next = op->head;
        if (op->kind == operation_kind::reject) {
            entry.kind = decision::rejected;
            entry.patch.clear();
            op->next.entries.push_back(std::move(entry));
            op->next_text.clear();
            write_decision(op, text);
            return;
        }
        if (!make_version(op, text, current ? &*current : nullptr, entry))
            return;
        if (op->kind == operation_kind::dry_run || op->kind == operation_kind::propose) {
            change_result result;
            result.version = op->next.version;
            finish(op, result, false);
            return;
        }
        write_decision(op, text);
    }

    /// Fills in the patch of `entry`; refuses the operation if no new month is due.
    bool prepare_month(const operation_ptr& op, const fleet_config& current, config_decision& entry)
    {
        const std::string month = month_of(op->wall - max_clock_skew);
        if (month <= current.authority_month) {
            refuse(op, commit_errc::not_due);
            return false;
        }
        entry.patch =
            json::array({{{"op", "test"}, {"path", "/authority_month"}, {"value", current.authority_month}},
                         {{"op", "replace"}, {"path", "/authority_month"}, {"value", month}}})
                .dump();
        return true;
    }

    /// Applies the entry's patch and fills in `next` and `next_text`; refuses the operation if the patch
    /// cannot be applied or its result is invalid.
    bool make_version(const operation_ptr& op, const std::string& text, const fleet_config* current,
                      config_decision entry)
    {
        const bool numbered =
            op->kind != operation_kind::bootstrap && op->kind != operation_kind::advance_month;
        if (numbered && op->head.version != op->on_version.value_or(entry.base)) {
            refuse(op, commit_errc::version_moved);
            return false;
        }
        const std::uint64_t version = op->head.version + 1;
        tl::expected<std::string, config_error> next = apply_patch(text, entry.patch, version);
        if (!next) {
            refuse(op, commit_errc::invalid, {next.error()});
            return false;
        }
        tl::expected<fleet_config, std::vector<config_error>> checked = check_document(*next, current);
        if (!checked) {
            refuse(op, commit_errc::invalid, std::move(checked.error()));
            return false;
        }
        entry.version = version;
        op->next.version = version;
        op->next.entries.push_back(std::move(entry));
        op->next_text = std::move(*next);
        return true;
    }

    // --- Writing -----------------------------------------------------------------------------------

    /// Writes the decision. If the head is full, first stores a snapshot of the version in force and moves
    /// the earlier decisions to the history.
    void write_decision(const operation_ptr& op, const std::string& text)
    {
        const bool full = op->next.entries.size() > settings_.max_entries ||
                          (op->next.entries.size() > 1 && encode_head(op->next).size() > settings_.max_head);
        if (!full || op->head.version == 0) {
            send(op);
            return;
        }
        // Both values depend only on the head's revision. Concurrent committers therefore write the same
        // bytes, and none can change a value that a committed head refers to.
        store_.put(kv_write{config_snapshot_key(op->head.version), text, std::nullopt, 0},
                   bind([op](impl& self, tl::expected<store_revision, store_errc> stored) {
                       if (!stored) {
                           self.refuse(op, commit_errc::store_unavailable);
                           return;
                       }
                       self.store_.put(
                           kv_write{config_history_key(op->revision), op->head_text, std::nullopt, 0},
                           self.bind([op](impl& inner, tl::expected<store_revision, store_errc> written) {
                               if (!written) {
                                   inner.refuse(op, commit_errc::store_unavailable);
                                   return;
                               }
                               op->next.snapshot_version = op->head.version;
                               op->next.history = config_history_key(op->revision);
                               op->next.entries.erase(op->next.entries.begin(), op->next.entries.end() - 1);
                               inner.send(op);
                           }));
                   }));
    }

    void send(const operation_ptr& op)
    {
        if (!promise_.may_commit(now_)) {
            delayed_.push_back(op);
            return;
        }
        if (encode_head(op->next).size() > settings_.max_value) {
            refuse(op, commit_errc::too_large);
            return;
        }
        op->write_outstanding = true;
        op->replaced_revision = op->revision;
        promise_.commit_started(now_);
        put_head(op);
    }

    void put_head(const operation_ptr& op)
    {
        op->sent_at = now_;
        store_.put(kv_write{std::string{config_head_key}, encode_head(op->next), op->replaced_revision, 0},
                   bind([op](impl& self, tl::expected<store_revision, store_errc> answer) {
                       self.head_written(op, answer);
                   }));
    }

    void head_written(const operation_ptr& op, const tl::expected<store_revision, store_errc>& answer)
    {
        if (answer) {
            if (!op->next_text.empty()) {
                text_ = op->next_text;
                text_version_ = op->next.version;
                if (on_commit_)
                    on_commit_(op->next.version, op->next_text, op->sent_at);
            }
            if (op->next.history != op->head.history)
                erase_superseded(op->head, op->next.snapshot_version);
            finish(op, result_of(op->next.entries.back()));
            return;
        }
        if (answer.error() == store_errc::conflict) {
            load_head(op);
            return;
        }
        op->effect_unknown = op->effect_unknown || may_have_taken_effect(answer.error());
        if (!op->effect_unknown)
            refuse(op, answer.error() == store_errc::too_large ? commit_errc::too_large
                                                               : commit_errc::store_unavailable);
        else
            retry([this, op] { put_head(op); });
    }

    /// Erases the stored proposals that `previous` decides and its snapshot, which the new head does not
    /// need. Failures are ignored: a value that stays behind only takes up space.
    void erase_superseded(const config_head& previous, std::uint64_t snapshot_version)
    {
        for (const config_decision& entry : previous.entries)
            store_.erase(proposal_key(entry.proposal), std::nullopt, [](tl::expected<void, store_errc>) {});
        if (previous.snapshot_version != 0 && previous.snapshot_version != snapshot_version)
            store_.erase(config_snapshot_key(previous.snapshot_version), std::nullopt,
                         [](tl::expected<void, store_errc>) {});
    }

    // --- Proposals and history ---------------------------------------------------------------------

    void read_proposal(const proposal& proposed, const propose_callback& done, bool may_create)
    {
        store_.get(proposal_key(proposed.id), 0,
                   bind([proposed, done, may_create](impl& self, tl::expected<kv_read, store_errc> answer) {
                       if (answer) {
                           const std::optional<proposal> stored = decode_proposal(answer->entry.value);
                           if (stored && *stored == proposed)
                               done({});
                           else
                               done(refusal_of(commit_errc::proposal_reused));
                       } else if (answer.error() == store_errc::not_found && may_create) {
                           self.check_new_proposal(proposed, done);
                       } else {
                           done(refusal_of(commit_errc::store_unavailable));
                       }
                   }));
    }

    void check_new_proposal(const proposal& proposed, const propose_callback& done)
    {
        const operation_ptr op = std::make_shared<operation>();
        op->kind = operation_kind::propose;
        op->id = proposed.id;
        op->proposed = proposed;
        op->oldest_decision_version = proposed.base;
        op->done = [self = weak_from_this(), proposed, done](const change_result& result, bool decided) {
            const std::shared_ptr<impl> alive = self.lock();
            if (!alive)
                return;
            if (decided && result.outcome == verdict::not_applied)
                done(tl::unexpected{result.refusal});
            else if (decided)
                done({}); // The proposal has been decided already.
            else
                alive->create_proposal(proposed, done);
        };
        load_head(op);
    }

    void create_proposal(const proposal& proposed, const propose_callback& done)
    {
        store_.put(kv_write{proposal_key(proposed.id), encode_proposal(proposed), 0, 0},
                   bind([proposed, done](impl& self, tl::expected<store_revision, store_errc> answer) {
                       if (answer)
                           done({});
                       else if (answer.error() == store_errc::conflict ||
                                may_have_taken_effect(answer.error()))
                           self.read_proposal(proposed, done, false);
                       else
                           done(refusal_of(commit_errc::store_unavailable));
                   }));
    }

    void read_history(const std::string& key, std::size_t limit, std::vector<config_decision> found,
                      const history_callback& done)
    {
        store_.get(
            key, 0,
            bind([key, limit, found = std::move(found),
                  done](impl& self, tl::expected<kv_read, store_errc> answer) mutable {
                if (!answer) {
                    const bool none = answer.error() == store_errc::not_found && key == config_head_key;
                    done(refusal_of(none ? commit_errc::no_configuration : commit_errc::store_unavailable));
                    return;
                }
                const std::optional<config_head> head = decode_head(answer->entry.value);
                if (!head) {
                    done(refusal_of(commit_errc::damaged));
                    return;
                }
                for (auto it = head->entries.rbegin(); it != head->entries.rend() && found.size() < limit;
                     ++it)
                    found.push_back(*it);
                if (found.size() >= limit || head->history.empty())
                    done(std::move(found));
                else
                    self.read_history(head->history, limit, std::move(found), done);
            }));
    }

    void filter_open(const std::vector<kv_entry>& listed, const proposals_callback& done)
    {
        std::vector<proposal> proposals;
        for (const kv_entry& entry : listed) {
            const std::optional<proposal> proposed = decode_proposal(entry.value);
            if (proposed)
                proposals.push_back(*proposed);
        }
        store_.get(std::string{config_head_key}, 0,
                   bind([proposals, done](impl&, tl::expected<kv_read, store_errc> answer) mutable {
                       const std::optional<config_head> head =
                           answer ? decode_head(answer->entry.value) : std::nullopt;
                       if (!head) {
                           done(refusal_of(commit_errc::store_unavailable));
                           return;
                       }
                       std::erase_if(proposals, [&head](const proposal& proposed) {
                           return find_entry(*head, proposed.id) != nullptr;
                       });
                       done(std::move(proposals));
                   }));
    }

    kv_store& store_;
    commit_promise& promise_;
    config_commit_settings settings_;
    timestamp now_{};
    std::vector<operation_ptr> delayed_;
    std::vector<std::pair<timestamp, std::function<void()>>> retries_;
    /// Document of the version last loaded or committed. Reusable because a committed version has only one
    /// text.
    std::string text_;
    std::uint64_t text_version_ = 0;
};

config_commit::config_commit(kv_store& store, commit_promise& promise, const config_commit_settings& settings)
    : impl_{std::make_shared<impl>(store, promise, settings)}
{
}

config_commit::~config_commit() = default;

void config_commit::tick(timestamp now)
{
    impl_->tick(now);
}

void config_commit::bootstrap(const std::string& id, const std::string& document, wall_time wall,
                              result_callback done)
{
    const operation_ptr op = std::make_shared<operation>();
    op->kind = operation_kind::bootstrap;
    op->id = id;
    op->wall = wall;
    op->done = [done = std::move(done)](const change_result& result, bool) { done(result); };
    json value = json::parse(document, nullptr, false);
    const std::optional<std::string> secret = secure_random_hex(secret_bytes);
    // The document becomes null, which validation refuses, if it has a secret or is not an object, or if no
    // secret could be generated.
    if (value.is_object() && !value.contains("ticket_secret") && secret)
        value["ticket_secret"] = *secret;
    else
        value = json{};
    op->document = json::array({{{"op", "replace"}, {"path", ""}, {"value", value}}}).dump();
    impl_->start(op);
}

void config_commit::propose(const proposal& proposed, propose_callback done)
{
    impl_->propose(proposed, std::move(done));
}

void config_commit::dry_run(std::uint64_t base, const std::string& patch, dry_run_callback done)
{
    const operation_ptr op = std::make_shared<operation>();
    op->kind = operation_kind::dry_run;
    op->proposed = proposal{"", base, patch, "", ""};
    op->done = [done = std::move(done)](const change_result& result, bool decided) {
        if (decided)
            done(tl::unexpected{result.refusal});
        else
            done(result.version);
    };
    impl_->start(op);
}

void config_commit::accept(const std::string& id, const std::string& owner_key,
                           std::optional<std::uint64_t> on_version, wall_time wall, result_callback done)
{
    const operation_ptr op = std::make_shared<operation>();
    op->kind = operation_kind::accept;
    op->id = id;
    op->owner_key = owner_key;
    op->on_version = on_version;
    op->wall = wall;
    op->done = [done = std::move(done)](const change_result& result, bool) { done(result); };
    impl_->start(op);
}

void config_commit::reject(const std::string& id, const std::string& owner_key, const std::string& comment,
                           wall_time wall, result_callback done)
{
    const operation_ptr op = std::make_shared<operation>();
    op->kind = operation_kind::reject;
    op->id = id;
    op->owner_key = owner_key;
    op->comment = comment;
    op->wall = wall;
    op->done = [done = std::move(done)](const change_result& result, bool) { done(result); };
    impl_->start(op);
}

void config_commit::advance_month(wall_time wall, result_callback done)
{
    const operation_ptr op = std::make_shared<operation>();
    op->kind = operation_kind::advance_month;
    op->id = std::string{system_prefix} + "month." + month_of(wall - max_clock_skew);
    op->wall = wall;
    op->done = [done = std::move(done)](const change_result& result, bool) { done(result); };
    impl_->start(op);
}

void config_commit::status(const std::string& id, status_callback done)
{
    const operation_ptr op = std::make_shared<operation>();
    op->kind = operation_kind::status;
    op->id = id;
    op->done = [done = std::move(done)](const change_result& result, bool decided) {
        if (!decided)
            done(std::optional<change_result>{});
        else if (result.outcome == verdict::not_applied)
            done(tl::unexpected{result.refusal});
        else
            done(std::optional<change_result>{result});
    };
    impl_->start(op);
}

void config_commit::history(std::size_t limit, const history_callback& done)
{
    impl_->history(limit, done);
}

void config_commit::open_proposals(const proposals_callback& done)
{
    impl_->open_proposals(done);
}

void config_commit::on_commit(commit_callback callback)
{
    impl_->on_commit_ = std::move(callback);
}

} // namespace mjm
