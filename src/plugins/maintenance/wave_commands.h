#pragma once

#include "core/enum_names.h"
#include "maintenance/wave_document.h"
#include "platform/kv_store.h"

#include <functional>
#include <memory>
#include <string>

namespace mjm {

enum class wave_command_errc { not_found, exists, not_allowed, bad_document, store_failed };

template <>
struct enum_names<wave_command_errc> {
    static constexpr std::array<std::pair<wave_command_errc, std::string_view>, 5> entries{{
        {wave_command_errc::not_found, "not_found"},
        {wave_command_errc::exists, "exists"},
        {wave_command_errc::not_allowed, "not_allowed"},
        {wave_command_errc::bad_document, "bad_document"},
        {wave_command_errc::store_failed, "store_failed"},
    }};
};

/// Operators' changes of waves. Each but `create` may be repeated without further effect, so a caller that
/// is told `store_failed` submits it again.
class wave_commands {
public:
    using callback = std::function<void(tl::expected<wave_document, wave_command_errc>)>;

    explicit wave_commands(kv_store& store);
    ~wave_commands();
    wave_commands(const wave_commands&) = delete;
    wave_commands& operator=(const wave_commands&) = delete;

    /// `exists` may also mean that an earlier submission with a lost answer took effect.
    void create(const wave_document& wave, const callback& done);
    void read(const std::string& id, const callback& done);
    void pause(const std::string& id, const callback& done);
    /// Also after `stopped`: failures so far no longer stop the wave.
    void resume(const std::string& id, const callback& done);
    void abort(const std::string& id, const callback& done);
    void set_speed(const std::string& id, const wave_speed& speed, const callback& done);
    /// Takes a failed host through reboot (unless it has rebooted) and verification again; it returns to
    /// service when that succeeds.
    void retry(const std::string& id, const target_id& host, const callback& done);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
