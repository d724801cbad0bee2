#include "jobs/prefix_watch.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace mjm {

class prefix_watch::impl : public std::enable_shared_from_this<prefix_watch::impl> {
public:
    impl(transaction_store& store, const clock& time, prefix_watch_settings settings, handler h)
        : store_{store}, time_{time}, settings_{std::move(settings)}, handler_{std::move(h)}
    {
    }

    void tick()
    {
        const timestamp now = time_.now();
        if (busy_ || ended_ || now < not_before_)
            return;
        if (reload_)
            list_next();
        else if (now >= sent_at_ + settings_.min_interval)
            watch_next(settings_.wait);
    }

    void reload()
    {
        reload_ = true;
        ++listing_;
        snapshot_.clear();
        after_.clear();
    }

    void set_wait(duration wait) { settings_.wait = wait; }

    void refresh()
    {
        if (ended_ || reload_)
            return; // A listing tells the present state, too.
        watch_next(duration{0});
    }

    void end() { ended_ = true; }
    [[nodiscard]] timestamp last_answer_at() const { return last_answer_at_; }
    [[nodiscard]] timestamp view_time() const
    {
        return std::max(view_time_, store_.complete_until(reported_revision_));
    }

private:
    void list_next()
    {
        busy_ = true;
        // The watch that follows repeats what changes while further pages are read.
        if (after_.empty())
            sent_at_ = time_.now();
        store_.list(settings_.prefix, after_,
                    [self = shared_from_this(),
                     listing = listing_](const tl::expected<store_page, store_errc>& page) {
                        self->busy_ = false;
                        if (self->ended_)
                            return;
                        // A page of a listing that was given up is none of the one that replaces it.
                        if (listing == self->listing_)
                            self->on_page(page);
                        else
                            self->tick();
                    });
    }

    void on_page(const tl::expected<store_page, store_errc>& page)
    {
        if (!page) {
            on_error(page.error());
            return;
        }
        on_answer();
        // The pages may differ in their revisions, so the watch starts from the first page's revision and
        // repeats changes that later pages may already contain.
        if (after_.empty())
            revision_ = page->revision;
        snapshot_.insert(snapshot_.end(), page->entries.begin(), page->entries.end());
        if (page->more && !page->entries.empty()) {
            after_ = page->entries.back().key;
            list_next();
            return;
        }
        after_.clear();
        reload_ = false;
        const std::vector<kv_entry> entries = std::exchange(snapshot_, {});
        report([&] { handler_.on_snapshot(entries); });
        reported_revision_ = revision_;
        view_time_ = std::max(view_time_, sent_at_);
        if (!ended_)
            tick();
    }

    void watch_next(duration wait)
    {
        busy_ = true;
        sent_at_ = time_.now();
        store_.watch(settings_.prefix, revision_, wait,
                     [self = shared_from_this(),
                      call = ++watch_call_](const tl::expected<store_changes, store_errc>& changes) {
                         if (call != self->watch_call_)
                             return;
                         self->busy_ = false;
                         if (!self->ended_)
                             self->on_changes(changes);
                     });
    }

    void on_changes(const tl::expected<store_changes, store_errc>& changes)
    {
        if (!changes) {
            if (changes.error() == store_errc::not_found)
                reload();
            on_error(changes.error());
            return;
        }
        on_answer();
        revision_ = std::max(revision_, changes->revision);
        if (!reload_) {
            if (handler_.on_answer)
                handler_.on_answer(changes->changes.size());
            for (const store_change& it : changes->changes) {
                if (ended_)
                    return;
                report([&] { handler_.on_change(it); });
            }
            reported_revision_ = revision_;
            // The store answers as soon as there are changes, so an answer without any lacks none.
            view_time_ = changes->changes.empty() ? std::max(view_time_, sent_at_) : view_time();
        }
        if (!ended_)
            tick();
    }

    /// What a handler failed on, and what follows it, is reported again by a listing.
    template <typename Report>
    void report(Report call)
    {
        try {
            call();
        } catch (...) {
            reload();
            not_before_ = time_.now() + settings_.retry;
            throw;
        }
    }

    void on_answer()
    {
        last_answer_at_ = time_.now();
        if (!store_reachable_ && handler_.on_store_reachability)
            handler_.on_store_reachability({});
        store_reachable_ = true;
    }

    void on_error(store_errc ec)
    {
        const bool history_lost = ec == store_errc::not_found;
        if (!history_lost)
            not_before_ = time_.now() + settings_.retry;
        if (reload_)
            reload(); // The listing starts again with the first page.
        if (store_reachable_ && handler_.on_store_reachability && !history_lost) {
            store_reachable_ = false;
            handler_.on_store_reachability(tl::unexpected{ec});
        }
    }

    transaction_store& store_;
    const clock& time_;
    prefix_watch_settings settings_;
    const handler handler_;
    std::vector<kv_entry> snapshot_;
    std::string after_;
    store_revision revision_ = 0;
    timestamp not_before_;
    timestamp last_answer_at_;
    timestamp sent_at_; ///< When the call in flight, or the listing that it continues, was sent.
    store_revision reported_revision_ = 0; ///< All changes up to this revision have been reported.
    timestamp view_time_;                  ///< As proved when the latest answer was reported.
    std::uint64_t watch_call_ = 0;         ///< Number of the watch call whose answer is awaited.
    std::uint64_t listing_ = 0;            ///< Number of the present listing of all entries.
    bool busy_ = false;
    bool reload_ = true;
    bool store_reachable_ = true;
    bool ended_ = false;
};

prefix_watch::prefix_watch(transaction_store& store, const clock& time, prefix_watch_settings settings,
                           handler h)
    : impl_{std::make_shared<impl>(store, time, std::move(settings), std::move(h))}
{
}

prefix_watch::~prefix_watch()
{
    impl_->end();
}

void prefix_watch::tick()
{
    impl_->tick();
}

void prefix_watch::set_wait(duration wait)
{
    impl_->set_wait(wait);
}

void prefix_watch::refresh()
{
    impl_->refresh();
}

void prefix_watch::reload()
{
    impl_->reload();
}

timestamp prefix_watch::view_time() const
{
    return impl_->view_time();
}

timestamp prefix_watch::last_answer_at() const
{
    return impl_->last_answer_at();
}

} // namespace mjm
