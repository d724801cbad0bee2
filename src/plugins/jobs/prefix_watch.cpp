#include "jobs/prefix_watch.h"

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
        if (busy_ || ended_ || time_.now() < not_before_)
            return;
        if (reload_)
            list_next();
        else
            watch_next();
    }

    void reload()
    {
        reload_ = true;
        page_.clear();
        after_.clear();
    }

    void end() { ended_ = true; }
    [[nodiscard]] timestamp last_answer_at() const { return last_contact_; }

private:
    void list_next()
    {
        busy_ = true;
        store_.list(settings_.prefix, after_,
                    [self = shared_from_this()](const tl::expected<store_page, store_errc>& page) {
                        self->busy_ = false;
                        if (!self->ended_)
                            self->on_page(page);
                    });
    }

    void on_page(const tl::expected<store_page, store_errc>& page)
    {
        if (!page) {
            on_error(page.error());
            return;
        }
        on_answer();
        // Pages are no snapshot of one moment: changes after the first page's revision are read once more.
        if (after_.empty())
            revision_ = page->revision;
        page_.insert(page_.end(), page->entries.begin(), page->entries.end());
        if (page->more && !page->entries.empty()) {
            after_ = page->entries.back().key;
            list_next();
            return;
        }
        after_.clear();
        reload_ = false;
        const std::vector<kv_entry> entries = std::exchange(page_, {});
        handler_.on_snapshot(entries);
        if (!ended_)
            tick();
    }

    void watch_next()
    {
        busy_ = true;
        store_.watch(settings_.prefix, revision_, settings_.wait,
                     [self = shared_from_this()](const tl::expected<store_changes, store_errc>& changes) {
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
            for (const store_change& it : changes->changes) {
                if (ended_)
                    return;
                handler_.on_change(it);
            }
        }
        if (!ended_)
            tick();
    }

    void on_answer()
    {
        last_contact_ = time_.now();
        if (!in_contact_ && handler_.on_store_reachability)
            handler_.on_store_reachability({});
        in_contact_ = true;
    }

    void on_error(store_errc ec)
    {
        const bool history_lost = ec == store_errc::not_found;
        if (!history_lost)
            not_before_ = time_.now() + settings_.retry;
        if (reload_)
            reload(); // a listing starts over
        if (in_contact_ && handler_.on_store_reachability && !history_lost) {
            in_contact_ = false;
            handler_.on_store_reachability(tl::unexpected{ec});
        }
    }

    transaction_store& store_;
    const clock& time_;
    const prefix_watch_settings settings_;
    const handler handler_;
    std::vector<kv_entry> page_;
    std::string after_;
    store_revision revision_ = 0;
    timestamp not_before_;
    timestamp last_contact_;
    bool busy_ = false;
    bool reload_ = true;
    bool in_contact_ = true;
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

void prefix_watch::reload()
{
    impl_->reload();
}

timestamp prefix_watch::last_answer_at() const
{
    return impl_->last_answer_at();
}

} // namespace mjm
