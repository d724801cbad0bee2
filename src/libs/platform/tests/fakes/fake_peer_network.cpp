#include "fake_peer_network.h"

namespace mjm {

void fake_peer_network::set_partitioned(const host_id& a, const host_id& b, bool on)
{
    if (on)
        partitions_.insert(std::minmax(a, b));
    else
        partitions_.erase(std::minmax(a, b));
}

bool fake_peer_network::reachable(const host_id& from, const host_id& to) const
{
    return hosts_.contains(to) && !partitions_.contains(std::minmax(from, to));
}

template <typename Result>
void fake_peer_network::call(const std::string& label, const host_id& from, const host_id& to,
                             std::function<void(tl::expected<Result, peer_errc>)> done,
                             std::function<void(handlers&, std::function<void(Result)>)> effect)
{
    using result = tl::expected<Result, peer_errc>;
    const auto lose = [done] { done(result{tl::unexpected{peer_errc::timed_out}}); };
    const auto arrive = [this, label, from, to, done, effect, lose] {
        if (!reachable(from, to)) {
            pump_.add(
                call_pump::direction::answer, label,
                [done] { done(result{tl::unexpected{peer_errc::not_connected}}); }, lose);
            return;
        }
        effect(hosts_.at(to), [this, label, from, to, done, lose](Result r) {
            pump_.add(
                call_pump::direction::answer, label,
                [this, from, to, done, r] {
                    if (reachable(from, to))
                        done(r);
                    else
                        done(result{tl::unexpected{peer_errc::connection_lost}});
                },
                lose);
        });
    };
    pump_.add(call_pump::direction::request, label, arrive, lose);
}

void fake_peer_client::forward(const peer_endpoint& peer, const forwarded_request& message,
                               outcome_callback done)
{
    network_.call<outcome>("forward " + self_.str() + " " + peer.id.str() + " " + message.work.id.str(),
                           self_, peer.id, std::move(done),
                           [message](fake_peer_network::handlers& h, std::function<void(outcome)> answer) {
                               h.forward(message, std::move(answer));
                           });
}

void fake_peer_client::cancel(const peer_endpoint& peer, const shard_id& shard, const request_id& request,
                              outcome_callback done)
{
    network_.call<outcome>(
        "cancel " + self_.str() + " " + peer.id.str() + " " + request.str(), self_, peer.id, std::move(done),
        [shard, request](fake_peer_network::handlers& h, std::function<void(outcome)> answer) {
            h.cancel(shard, request, std::move(answer));
        });
}

void fake_peer_client::exchange_status(const peer_endpoint& peer, const std::string& message,
                                       message_callback done)
{
    network_.call<std::string>(
        "status " + self_.str() + " " + peer.id.str(), self_, peer.id, std::move(done),
        [message](fake_peer_network::handlers& h, const std::function<void(std::string)>& answer) {
            answer(h.status(message));
        });
}

} // namespace mjm
