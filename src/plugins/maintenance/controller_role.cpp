#include "maintenance/controller_role.h"

#include "maintenance/maintenance_codec.h"

namespace mjm {

class controller_role::impl : public std::enable_shared_from_this<controller_role::impl> {
public:
    impl(kv_store& store, const controller_role_settings& settings) : store_{store}, settings_{settings} {}

    void tick(timestamp now);
    void lose();
    [[nodiscard]] bool held() const { return held_; }
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

private:
    void renew();
    void find_lock();
    void take_lease();
    void take_lock(store_lease_id lease);
    void read_record(store_lease_id lease);
    void write_record(const controller_record& record, store_revision expected);

    kv_store& store_;
    controller_role_settings settings_;
    timestamp now_;
    bool busy_ = false;
    bool held_ = false;
    std::uint64_t epoch_ = 0;
    store_lease_id lease_ = 0;
    timestamp renewed_; ///< Begin of the last renewal that succeeded.
    timestamp next_call_;
    timestamp started_; ///< Begin of the attempt to acquire the role.
};

void controller_role::impl::tick(timestamp now)
{
    now_ = now;
    if (held_ && now - renewed_ >= settings_.lease_ttl)
        lose();
    if (busy_ || now < next_call_)
        return;
    next_call_ = now + settings_.renew_interval;
    busy_ = true;
    if (held_) {
        renew();
    } else {
        started_ = now;
        find_lock();
    }
}

void controller_role::impl::lose()
{
    held_ = false;
}

void controller_role::impl::renew()
{
    const timestamp begun = now_;
    store_.keep_alive(lease_, [self = weak_from_this(), begun](const tl::expected<void, store_errc>& result) {
        const std::shared_ptr<impl> me = self.lock();
        if (!me)
            return;
        me->busy_ = false;
        if (result)
            me->renewed_ = begun;
        else if (result.error() == store_errc::not_found)
            me->lose();
    });
}

void controller_role::impl::find_lock()
{
    store_.get(controller_lock_key(settings_.scope), 0,
               [self = weak_from_this()](const tl::expected<kv_read, store_errc>& result) {
                   const std::shared_ptr<impl> me = self.lock();
                   if (!me)
                       return;
                   if (!result && result.error() == store_errc::not_found)
                       me->take_lease();
                   else
                       me->busy_ = false;
               });
}

void controller_role::impl::take_lease()
{
    store_.grant_lease(settings_.lease_ttl,
                       [self = weak_from_this()](const tl::expected<store_lease_id, store_errc>& result) {
                           const std::shared_ptr<impl> me = self.lock();
                           if (!me)
                               return;
                           if (result)
                               me->take_lock(*result);
                           else
                               me->busy_ = false;
                       });
}

void controller_role::impl::take_lock(store_lease_id lease)
{
    store_.put({controller_lock_key(settings_.scope), settings_.holder, 0, lease},
               [self = weak_from_this(), lease](const tl::expected<store_revision, store_errc>& result) {
                   const std::shared_ptr<impl> me = self.lock();
                   if (!me)
                       return;
                   if (result)
                       me->read_record(lease);
                   else
                       me->busy_ = false;
               });
}

void controller_role::impl::read_record(store_lease_id lease)
{
    store_.get(
        controller_key(settings_.scope), 0,
        [self = weak_from_this(), lease](const tl::expected<kv_read, store_errc>& result) {
            const std::shared_ptr<impl> me = self.lock();
            if (!me)
                return;
            if (!result && result.error() == store_errc::not_found) {
                me->write_record({1, me->settings_.holder, lease}, 0);
                return;
            }
            const std::optional<controller_record> record =
                result ? maintenance_codec::controller(result->entry.value) : std::nullopt;
            if (record)
                me->write_record({record->epoch + 1, me->settings_.holder, lease}, result->entry.revision);
            else
                me->busy_ = false;
        });
}

void controller_role::impl::write_record(const controller_record& record, store_revision expected)
{
    store_.put({controller_key(settings_.scope), maintenance_codec::encode(record), expected, 0},
               [self = weak_from_this(), record](const tl::expected<store_revision, store_errc>& result) {
                   const std::shared_ptr<impl> me = self.lock();
                   if (!me)
                       return;
                   me->busy_ = false;
                   if (!result)
                       return;
                   me->held_ = true;
                   me->epoch_ = record.epoch;
                   me->lease_ = record.lease;
                   me->renewed_ = me->started_;
               });
}

controller_role::controller_role(kv_store& store, const controller_role_settings& settings)
    : impl_{std::make_shared<impl>(store, settings)}
{
}

controller_role::~controller_role() = default;

void controller_role::tick(timestamp now)
{
    impl_->tick(now);
}

void controller_role::supersede()
{
    impl_->lose();
}

bool controller_role::held() const
{
    return impl_->held();
}

std::uint64_t controller_role::epoch() const
{
    return impl_->epoch();
}

} // namespace mjm
