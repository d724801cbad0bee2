#include "jobs/progress_journal.h"

#include "core/number_text.h"
#include "jobs/job_keys.h"

#include <algorithm>

namespace mjm {

namespace {

// Pause after a failed transaction, so that a failing store is not loaded further.
constexpr std::chrono::milliseconds retry_pause{50};
// Entries of a transaction besides the progress: two conditions and the writes of the journal key, of the
// waits for silent targets and of the runs that were given up.
constexpr std::size_t overhead_entries = 5;

/// Returns 0 if the text is not a number. Restarting the sequence is safe, since the journal key's revision
/// guards the writes.
std::uint64_t parse_sequence(std::string_view text)
{
    return parse_integer<std::uint64_t>(text).value_or(0);
}

} // namespace

class progress_journal::impl : public std::enable_shared_from_this<progress_journal::impl> {
public:
    impl(transaction_store& store, const clock& time, fencing_token token, handler h)
        : store_{store}, time_{time}, token_{token}, handler_{std::move(h)}
    {
    }

    void open(std::function<void(tl::expected<void, store_errc>)> done)
    {
        store_.get(std::string{job_keys::journal}, [self = shared_from_this(), done = std::move(done)](
                                                       const tl::expected<kv_entry, store_errc>& e) {
            if (self->ended_)
                return;
            if (!e && e.error() != store_errc::not_found) {
                done(tl::unexpected{e.error()});
                return;
            }
            if (e) {
                self->revision_ = e->revision;
                self->sequence_ = parse_sequence(e->value);
            }
            self->open_ = true;
            done({});
        });
    }

    [[nodiscard]] bool idle() const { return open_ && !busy_ && time_.now() >= not_before_; }
    void end() { ended_ = true; }

    void write(journal_batch batch)
    {
        busy_ = true;
        const std::uint64_t sequence = ++sequence_;
        store_transaction t;
        t.expected.emplace_back(std::string{job_keys::leader}, token_);
        t.expected.emplace_back(std::string{job_keys::journal}, revision_);
        t.writes.push_back({std::string{job_keys::journal}, std::to_string(sequence), std::nullopt, 0});
        for (const progress_write& w : batch.progress)
            t.writes.push_back({job_keys::of(job_keys::progress, w.job), w.text, std::nullopt, 0});
        if (batch.waits)
            t.writes.push_back(
                {std::string{job_keys::lease_waits}, encode_lease_waits(*batch.waits), std::nullopt, 0});
        if (batch.given_up)
            t.writes.push_back({std::string{job_keys::given_up_runs}, batch.given_up->text, std::nullopt, 0});
        unanswered_[sequence] = std::move(batch);
        store_.commit(std::move(t), [self = shared_from_this(), sequence](
                                        const tl::expected<store_revision, transaction_error>& result) {
            if (!self->ended_)
                self->on_result(sequence, result);
        });
    }

private:
    void on_result(std::uint64_t sequence, const tl::expected<store_revision, transaction_error>& result)
    {
        busy_ = false;
        if (result) {
            on_store_reachability({});
            complete(sequence, *result);
            return;
        }
        const store_errc ec = result.error().code;
        if (ec == store_errc::conflict) {
            on_store_reachability({});
            on_conflict(result.error().current);
            return;
        }
        if (!may_have_taken_effect(ec))
            unanswered_.erase(sequence);
        not_before_ = time_.now() + retry_pause;
        on_store_reachability(tl::unexpected{ec});
    }

    /// Handles that the transaction `sequence` was the latest to write the journal key. No other unanswered
    /// transaction can take effect any more.
    void complete(std::uint64_t sequence, store_revision revision)
    {
        revision_ = revision;
        journal_batch batch = std::move(unanswered_[sequence]);
        batch.revision = revision;
        unanswered_.clear();
        handler_.on_stored(batch);
    }

    void on_conflict(const std::vector<kv_entry>& current)
    {
        const auto find = [&current](std::string_view key) {
            return std::find_if(current.begin(), current.end(),
                                [key](const kv_entry& e) { return e.key == key; });
        };
        const auto leader = find(job_keys::leader);
        if (leader == current.end() || leader->revision != token_) {
            handler_.on_superseded("another host holds the leader key");
            return;
        }
        const auto journal = find(job_keys::journal);
        const std::uint64_t latest = journal == current.end() ? 0 : parse_sequence(journal->value);
        if (journal != current.end() && unanswered_.contains(latest))
            complete(latest, journal->revision);
        else
            handler_.on_superseded("the journal has a write of another leader");
    }

    void on_store_reachability(tl::expected<void, store_errc> reachability)
    {
        if (reachability.has_value() != store_reachable_)
            handler_.on_store_reachability(reachability);
        store_reachable_ = reachability.has_value();
    }

    transaction_store& store_;
    const clock& time_;
    const fencing_token token_;
    const handler handler_;
    /// Transactions that may have taken effect, by sequence number.
    std::map<std::uint64_t, journal_batch> unanswered_;
    store_revision revision_ = 0;
    std::uint64_t sequence_ = 0;
    timestamp not_before_;
    bool open_ = false;
    bool busy_ = false;
    bool store_reachable_ = true;
    bool ended_ = false;
};

progress_journal::progress_journal(transaction_store& store, const clock& time, fencing_token token,
                                   handler h)
    : impl_{std::make_shared<impl>(store, time, token, std::move(h))}
{
}

progress_journal::~progress_journal()
{
    impl_->end();
}

void progress_journal::open(std::function<void(tl::expected<void, store_errc>)> done)
{
    impl_->open(std::move(done));
}

bool progress_journal::idle() const
{
    return impl_->idle();
}

std::size_t progress_journal::capacity()
{
    return max_transaction_entries - overhead_entries;
}

void progress_journal::write(journal_batch batch)
{
    impl_->write(std::move(batch));
}

} // namespace mjm
