#include "jobs/progress_journal.h"

#include "core/number_text.h"
#include "jobs/job_keys.h"

#include <algorithm>

namespace mjm {

namespace {

// Pause after a transaction that failed, so that a store in trouble is not pressed further.
constexpr std::chrono::milliseconds retry_pause{50};
// Two conditions and the journal's own write.
constexpr std::size_t overhead_entries = 3;

/// A number that cannot be read starts the numbering anew, which is safe: the revision guards the writes.
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

    void write(std::vector<progress_write> writes)
    {
        busy_ = true;
        const std::uint64_t sequence = ++sequence_;
        store_transaction t;
        t.expected.emplace_back(std::string{job_keys::leader}, token_);
        t.expected.emplace_back(std::string{job_keys::journal}, revision_);
        t.writes.push_back({std::string{job_keys::journal}, std::to_string(sequence), std::nullopt, 0});
        for (const progress_write& w : writes)
            t.writes.push_back({job_keys::of(job_keys::progress, w.job), w.text, std::nullopt, 0});
        unanswered_[sequence] = std::move(writes);
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

    /// One of the transactions is the journal's latest; no other unanswered one can take effect any more.
    void complete(std::uint64_t sequence, store_revision revision)
    {
        revision_ = revision;
        const std::vector<progress_write> writes = std::move(unanswered_[sequence]);
        unanswered_.clear();
        handler_.on_stored(writes);
    }

    void on_conflict(const std::vector<kv_entry>& current)
    {
        const auto find = [&current](std::string_view key) {
            return std::find_if(current.begin(), current.end(),
                                [key](const kv_entry& e) { return e.key == key; });
        };
        const auto leader = find(job_keys::leader);
        if (leader == current.end() || leader->revision != token_) {
            handler_.on_superseded("the leader's key is another's");
            return;
        }
        const auto journal = find(job_keys::journal);
        const std::uint64_t latest = journal == current.end() ? 0 : parse_sequence(journal->value);
        if (journal != current.end() && unanswered_.contains(latest))
            complete(latest, journal->revision);
        else
            handler_.on_superseded("the journal is ahead of this leader");
    }

    void on_store_reachability(tl::expected<void, store_errc> contact)
    {
        if (contact.has_value() != in_contact_)
            handler_.on_store_reachability(contact);
        in_contact_ = contact.has_value();
    }

    transaction_store& store_;
    const clock& time_;
    const fencing_token token_;
    const handler handler_;
    /// By sequence number: transactions that may have taken effect.
    std::map<std::uint64_t, std::vector<progress_write>> unanswered_;
    store_revision revision_ = 0;
    std::uint64_t sequence_ = 0;
    timestamp not_before_;
    bool open_ = false;
    bool busy_ = false;
    bool in_contact_ = true;
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

void progress_journal::write(std::vector<progress_write> writes)
{
    impl_->write(std::move(writes));
}

} // namespace mjm
