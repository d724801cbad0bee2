#pragma once

#include "core/enum_names.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace mjm {

/// Reason why a server refuses a request or closes a connection.
enum class refusal_reason {
    too_many_connections, ///< No connection could be closed in favour of the new one.
    memory_full,          ///< The memory for requests and answers is in use by requests that are handled.
    too_many_fields,
    header_too_large,
    body_too_large,
    request_too_slow,
    answer_not_read,
    malformed,
    displaced, ///< Closed in favour of another connection.
    internal_error,
};

template <>
struct enum_names<refusal_reason> {
    static constexpr std::array<std::pair<refusal_reason, std::string_view>, 10> entries{{
        {refusal_reason::too_many_connections, "too_many_connections"},
        {refusal_reason::memory_full, "memory_full"},
        {refusal_reason::too_many_fields, "too_many_fields"},
        {refusal_reason::header_too_large, "header_too_large"},
        {refusal_reason::body_too_large, "body_too_large"},
        {refusal_reason::request_too_slow, "request_too_slow"},
        {refusal_reason::answer_not_read, "answer_not_read"},
        {refusal_reason::malformed, "malformed"},
        {refusal_reason::displaced, "displaced"},
        {refusal_reason::internal_error, "internal_error"},
    }};
};

/// What a connection is doing, in the order in which connections are closed under pressure.
enum class connection_phase {
    receiving, ///< A request has begun and is not complete.
    sending,   ///< All requests are answered; the client has yet to read the answers.
    idle,
    handling, ///< A request was passed on and is not answered; never closed under pressure.
};

/// Decides which connections of a listener stay open, and how many bytes they may hold for requests and
/// answers. Under pressure, the connections with the least finished work are closed first, and of these the
/// one that has been in its phase longest. Does no I/O; the server closes what it is told to.
class connection_admission {
public:
    using connection_id = std::uint64_t;

    struct limits {
        std::size_t connections = 2000;
        std::size_t bytes = 32U << 20U;
    };
    struct decision {
        bool admitted = false;
        std::vector<connection_id> displaced; ///< Already removed from the books.
    };

    explicit connection_admission(const limits& l) : limits_{l} {}

    /// Adds a connection, in phase `idle`.
    [[nodiscard]] decision open(connection_id id);
    void close(connection_id id);
    void set_phase(connection_id id, connection_phase phase);
    /// Sets the bytes that the connection holds. If they aren't admitted, it keeps its former number.
    [[nodiscard]] decision hold(connection_id id, std::size_t bytes);
    /// Moves up to `bytes` of a connection to a request that was passed on; they outlast the connection.
    /// Returns their number, which is to be released later.
    [[nodiscard]] std::size_t pass_on(connection_id id, std::size_t bytes);
    void release_passed_on(std::size_t bytes);

    [[nodiscard]] std::size_t connections() const { return entries_.size(); }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    struct entry {
        connection_phase phase = connection_phase::idle;
        std::uint64_t order = 0;
        std::size_t bytes = 0;
    };
    /// The first one is displaced first.
    struct place {
        connection_phase phase;
        std::uint64_t order;
        connection_id id;
        auto operator<=>(const place&) const = default;
    };
    [[nodiscard]] static place place_of(connection_id id, const entry& e) { return {e.phase, e.order, id}; }

    const limits limits_;
    std::map<connection_id, entry> entries_;
    std::set<place> places_; ///< Of all connections but those in phase `handling`.
    std::size_t bytes_ = 0;
    std::uint64_t next_order_ = 0;
};

} // namespace mjm
