#include "maintenance/wave_commands.h"

#include "maintenance/maintenance_codec.h"

namespace mjm {

namespace {

// The controller writes a wave at most a few times in a second, so that conflicts in a row are rare.
constexpr int max_attempts = 8;

bool ended(const wave_document& wave)
{
    return wave.state == wave_state::finished || wave.state == wave_state::aborting;
}

} // namespace

class wave_commands::impl : public std::enable_shared_from_this<wave_commands::impl> {
public:
    /// Changes the document; false when its state does not allow the change.
    using change = std::function<bool(wave_document&)>;

    explicit impl(kv_store& store) : store_{store} {}

    void create(const wave_document& wave, const callback& done);
    void apply(const std::string& id, const change& edit, int attempts, const callback& done);

private:
    void write(const wave_document& wave, store_revision expected, const change& edit, int attempts,
               const callback& done);

    kv_store& store_;
};

void wave_commands::impl::create(const wave_document& wave, const callback& done)
{
    if (!is_valid_name(wave.id)) {
        done(tl::unexpected{wave_command_errc::not_allowed});
        return;
    }
    store_.put({wave_key(wave.id), maintenance_codec::encode(wave), 0, 0},
               [wave, done](const tl::expected<store_revision, store_errc>& result) {
                   if (result)
                       done(wave);
                   else
                       done(tl::unexpected{result.error() == store_errc::conflict
                                               ? wave_command_errc::exists
                                               : wave_command_errc::store_failed});
               });
}

void wave_commands::impl::apply(const std::string& id, const change& edit, int attempts, const callback& done)
{
    store_.get(
        wave_key(id), 0,
        [self = weak_from_this(), edit, attempts, done](const tl::expected<kv_read, store_errc>& result) {
            const std::shared_ptr<impl> me = self.lock();
            if (!me)
                return;
            if (!result) {
                done(tl::unexpected{result.error() == store_errc::not_found
                                        ? wave_command_errc::not_found
                                        : wave_command_errc::store_failed});
                return;
            }
            std::optional<wave_document> wave = maintenance_codec::wave(result->entry.value);
            if (!wave) {
                done(tl::unexpected{wave_command_errc::bad_document});
                return;
            }
            const wave_document before = *wave;
            if (!edit(*wave))
                done(tl::unexpected{wave_command_errc::not_allowed});
            else if (*wave == before)
                done(before);
            else
                me->write(*wave, result->entry.revision, edit, attempts, done);
        });
}

void wave_commands::impl::write(const wave_document& wave, store_revision expected, const change& edit,
                                int attempts, const callback& done)
{
    store_.put({wave_key(wave.id), maintenance_codec::encode(wave), expected, 0},
               [self = weak_from_this(), wave, edit, attempts,
                done](const tl::expected<store_revision, store_errc>& result) {
                   const std::shared_ptr<impl> me = self.lock();
                   if (!me)
                       return;
                   if (result)
                       done(wave);
                   else if (attempts > 1 &&
                            (result.error() == store_errc::conflict || may_have_taken_effect(result.error())))
                       me->apply(wave.id, edit, attempts - 1, done);
                   else
                       done(tl::unexpected{wave_command_errc::store_failed});
               });
}

wave_commands::wave_commands(kv_store& store) : impl_{std::make_shared<impl>(store)} {}

wave_commands::~wave_commands() = default;

void wave_commands::create(const wave_document& wave, const callback& done)
{
    impl_->create(wave, done);
}

void wave_commands::read(const std::string& id, const callback& done)
{
    impl_->apply(
        id, [](const wave_document&) { return true; }, 1, done);
}

void wave_commands::pause(const std::string& id, const callback& done)
{
    impl_->apply(
        id,
        [](wave_document& wave) {
            if (wave.state == wave_state::running)
                wave.state = wave_state::paused;
            return !ended(wave);
        },
        max_attempts, done);
}

void wave_commands::resume(const std::string& id, const callback& done)
{
    impl_->apply(
        id,
        [](wave_document& wave) {
            if (wave.state == wave_state::stopped) {
                wave.accepted_failures = wave.count(host_stage::failed);
                wave.failure_baseline = -1;
                wave.stopped_by = stop_reason::none;
            }
            if (!ended(wave))
                wave.state = wave_state::running;
            return !ended(wave);
        },
        max_attempts, done);
}

void wave_commands::abort(const std::string& id, const callback& done)
{
    impl_->apply(
        id,
        [](wave_document& wave) {
            if (wave.state != wave_state::finished)
                wave.state = wave_state::aborting;
            return true;
        },
        max_attempts, done);
}

void wave_commands::set_speed(const std::string& id, const wave_speed& speed, const callback& done)
{
    impl_->apply(
        id,
        [speed](wave_document& wave) {
            wave.speed = speed;
            return speed.hosts > 0 && speed.per_pool > 0 && speed.per_rack > 0 && speed.per_zone > 0 &&
                   !ended(wave);
        },
        max_attempts, done);
}

void wave_commands::retry(const std::string& id, const target_id& host, const callback& done)
{
    impl_->apply(
        id,
        [host](wave_document& wave) {
            const auto it = wave.hosts.find(host);
            if (it == wave.hosts.end() ||
                (it->second.stage != host_stage::failed && it->second.stage != host_stage::rebooting))
                return false;
            if (it->second.stage == host_stage::failed) {
                // A reboot requested before the deadline may still come, so it must be seen first.
                it->second.stage = host_stage::rebooting;
                it->second.reason = wait_reason::none;
            }
            return true;
        },
        max_attempts, done);
}

} // namespace mjm
