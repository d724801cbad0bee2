#include "configuration/config_replica.h"

#include "configuration/config_codec.h"
#include "configuration/config_head.h"
#include "configuration/config_patch.h"
#include "core/invariant.h"

#include <algorithm>
#include <utility>

namespace mjm {

namespace {

// Polling continues while a read hangs, but the number of pending reads is bounded.
constexpr int max_reads = 3;

/// Sets `time` to `candidate` unless it is later already.
void raise_to(std::optional<timestamp>& time, timestamp candidate)
{
    time = time ? std::max(*time, candidate) : candidate;
}

} // namespace

class config_replica::impl : public std::enable_shared_from_this<config_replica::impl> {
public:
    impl(kv_store& store, const config_replica_settings& settings) : store_{store}, settings_{settings} {}

    void tick(timestamp now)
    {
        now_ = now;
        if (reads_ >= max_reads || (last_read_ && now - *last_read_ < settings_.poll_interval))
            return;
        last_read_ = now;
        ++reads_;
        store_.get(std::string{config_head_key}, revision_,
                   [self = weak_from_this(), now](tl::expected<kv_read, store_errc> answer) {
                       if (const std::shared_ptr<impl> alive = self.lock())
                           alive->head_read(std::move(answer), now);
                   });
    }

    void install(std::uint64_t version, std::string text, timestamp confirmed)
    {
        if (current_ && version <= current_->version) {
            confirm(version, confirmed);
            return;
        }
        tl::expected<fleet_config, config_error> config = decode_config(text);
        if (!config || config->version != version)
            return;
        check_invariant(!current_ || current_->version < version, invariant::config_monotonic,
                        "a replica installed a version that is not newer");
        text_ = std::move(text);
        current_ = std::make_shared<const fleet_config>(std::move(*config));
        raise_to(confirmed_, confirmed);
        for (const auto& callback : callbacks_)
            callback(current_);
    }

    void confirm(std::uint64_t version, timestamp confirmed)
    {
        if (current_ && current_->version == version)
            raise_to(confirmed_, confirmed);
    }

    std::shared_ptr<const fleet_config> current_;
    std::string text_;
    std::optional<timestamp> confirmed_;
    std::optional<timestamp> last_store_answer_;
    std::vector<std::function<void(const std::shared_ptr<const fleet_config>&)>> callbacks_;

private:
    /// `read_sent_at` is when the read was sent. The answer shows the state of the store at that time or
    /// later.
    void head_read(tl::expected<kv_read, store_errc> answer, timestamp read_sent_at)
    {
        --reads_;
        record_reachability(answer, read_sent_at);
        if (!answer)
            return;
        if (answer->unchanged) {
            // Answers can arrive out of order; only an answer for the installed revision confirms it.
            if (answer->entry.revision == revision_)
                confirm(revision_version_, read_sent_at);
            return;
        }
        std::optional<config_head> head = decode_head(answer->entry.value);
        if (!head)
            return;
        const store_revision revision = answer->entry.revision;
        const std::uint64_t held = current_ ? current_->version : 0;
        if (current_ && head->version <= held) {
            confirm(head->version, read_sent_at);
            if (head->version == held)
                remember_revision(revision, held);
            return;
        }
        if (held >= head->snapshot_version) {
            apply_deltas(*head, text_, revision, read_sent_at);
            return;
        }
        const std::string key = config_snapshot_key(head->snapshot_version);
        store_.get(key, 0,
                   [self = weak_from_this(), head = std::move(*head), revision,
                    read_sent_at](tl::expected<kv_read, store_errc> snapshot) {
                       const std::shared_ptr<impl> alive = self.lock();
                       if (!alive)
                           return;
                       alive->record_reachability(snapshot, read_sent_at);
                       // A missing snapshot belongs to a head that has been replaced since.
                       if (snapshot)
                           alive->apply_deltas(head, snapshot->entry.value, revision, read_sent_at);
                   });
    }

    /// Installs the version of `head` by applying its accepted patches to `text`, the snapshot, or to the
    /// installed document if that is not older.
    void apply_deltas(const config_head& head, std::string text, store_revision revision,
                      timestamp read_sent_at)
    {
        std::uint64_t reached = head.snapshot_version;
        if (current_ && current_->version >= head.snapshot_version) {
            reached = current_->version;
            text = text_;
        }
        for (const config_decision& entry : head.entries) {
            if (entry.kind != decision::accepted || entry.version <= reached)
                continue;
            tl::expected<std::string, config_error> next = apply_patch(text, entry.patch, entry.version);
            if (!next)
                return;
            text = std::move(*next);
            reached = entry.version;
        }
        install(head.version, std::move(text), read_sent_at);
        if (current_ && current_->version == head.version)
            remember_revision(revision, head.version);
    }

    void remember_revision(store_revision revision, std::uint64_t version)
    {
        if (revision > revision_) {
            revision_ = revision;
            revision_version_ = version;
        }
    }

    template <typename Answer>
    void record_reachability(const Answer& answer, timestamp read_sent_at)
    {
        const bool answered = answer.has_value() || answer.error() == store_errc::not_found ||
                              answer.error() == store_errc::overloaded;
        if (answered)
            raise_to(last_store_answer_, std::max(read_sent_at, now_));
    }

    kv_store& store_;
    config_replica_settings settings_;
    timestamp now_{};
    std::optional<timestamp> last_read_;
    int reads_ = 0;
    store_revision revision_ = 0;
    std::uint64_t revision_version_ = 0;
};

config_replica::config_replica(kv_store& store, const config_replica_settings& settings)
    : impl_{std::make_shared<impl>(store, settings)}
{
}

config_replica::~config_replica() = default;

void config_replica::tick(timestamp now)
{
    impl_->tick(now);
}

std::shared_ptr<const fleet_config> config_replica::current() const
{
    return impl_->current_;
}

const std::string& config_replica::current_text() const
{
    return impl_->text_;
}

void config_replica::offer(std::uint64_t version, const std::string& text, timestamp confirmed)
{
    impl_->install(version, text, confirmed);
}

void config_replica::confirm(std::uint64_t version, timestamp confirmed)
{
    impl_->confirm(version, confirmed);
}

std::optional<timestamp> config_replica::last_confirmed() const
{
    return impl_->confirmed_;
}

std::optional<timestamp> config_replica::last_store_contact() const
{
    return impl_->last_store_answer_;
}

void config_replica::on_install(std::function<void(const std::shared_ptr<const fleet_config>&)> callback)
{
    impl_->callbacks_.push_back(std::move(callback));
}

} // namespace mjm
