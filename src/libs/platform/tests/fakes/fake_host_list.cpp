#include "fake_host_list.h"

namespace mjm {

void fake_host_list::read(read_callback done)
{
    using result = tl::expected<std::vector<listed_host>, store_errc>;
    const auto lose = [done] { done(result{tl::unexpected{store_errc::timed_out}}); };
    const auto arrive = [this, done, lose] {
        const result r = unreachable_ ? result{tl::unexpected{store_errc::unreachable}} : result{hosts_};
        pump_.add(
            call_pump::direction::answer, "host_list", [done, r] { done(r); }, lose);
    };
    pump_.add(call_pump::direction::request, "host_list", arrive, lose);
}

} // namespace mjm
