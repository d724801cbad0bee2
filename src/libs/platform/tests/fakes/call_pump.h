#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace mjm {

/// Messages of fake services on their way. A call is first a pending request, which takes effect when the
/// test delivers it, and then a pending answer, whose delivery invokes the caller's callback.
class call_pump {
public:
    enum class direction { request, answer };
    using message_id = std::uint64_t;

    struct message {
        message_id id = 0;
        direction way = direction::request;
        std::string label; ///< For example `put members/h1` or `start t1 r1#1`.
        std::function<void()> deliver;
        std::function<void()> lose; ///< Tells the caller that its call was lost.
    };

    message_id add(direction way, std::string label, std::function<void()> deliver,
                   std::function<void()> lose);

    [[nodiscard]] const std::deque<message>& pending() const { return messages_; }
    [[nodiscard]] bool empty() const { return messages_.empty(); }
    [[nodiscard]] std::size_t size() const { return messages_.size(); }
    /// First pending message of this direction whose label starts with `prefix`; 0 when there is none.
    [[nodiscard]] message_id find(direction way, std::string_view prefix) const;

    /// Each returns false when there is no such message.
    bool deliver_next();
    bool deliver(message_id id);
    /// Loses the message. The caller's callback reports a lost call at once; a request that is lost has no
    /// effect, an answer that is lost has had its effect.
    bool drop(message_id id);
    /// Moves the message behind all others.
    bool delay(message_id id);
    /// Delivers until nothing is pending or `limit` messages were delivered; returns how many were.
    std::size_t deliver_all(std::size_t limit = 100'000);
    /// Delivers the messages that are pending now, but not those that they cause.
    std::size_t deliver_round();
    /// Takes the message out without delivering or losing it.
    bool take(message_id id, message& out);

private:
    std::deque<message> messages_;
    message_id last_id_ = 0;
};

} // namespace mjm
