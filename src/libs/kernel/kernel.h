#pragma once

#include "core/enum_names.h"
#include "kernel/service.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mjm {

enum class kernel_errc {
    missing_dependency, ///< A needed name is not registered.
    cycle,              ///< Services need each other.
    duplicate_name,
    start_failed,
    already_started, ///< Registration or start after a start.
};

template <>
struct enum_names<kernel_errc> {
    static constexpr std::array<std::pair<kernel_errc, std::string_view>, 5> entries{{
        {kernel_errc::missing_dependency, "missing_dependency"},
        {kernel_errc::cycle, "cycle"},
        {kernel_errc::duplicate_name, "duplicate_name"},
        {kernel_errc::start_failed, "start_failed"},
        {kernel_errc::already_started, "already_started"},
    }};
};

struct kernel_error {
    kernel_errc code = kernel_errc::start_failed;
    std::string service;
    std::string detail; ///< The missing name, the cycle as `a > b > a`, or the service's own reason.
};

enum class lookup_errc {
    unknown_name,
    not_running, ///< Registered, but not started yet or stopped.
    wrong_type,  ///< Running, but it does not implement the requested type.
};

template <>
struct enum_names<lookup_errc> {
    static constexpr std::array<std::pair<lookup_errc, std::string_view>, 3> entries{{
        {lookup_errc::unknown_name, "unknown_name"},
        {lookup_errc::not_running, "not_running"},
        {lookup_errc::wrong_type, "wrong_type"},
    }};
};

/// Owns a program's services. Services start in dependency order, and among independent ones in the order
/// of registration; they stop in the reverse of the order in which they started. Not thread-safe: `add`,
/// `start` and `stop` belong to the main thread, and `find` to it or to a service's `start`.
class kernel {
public:
    kernel() = default;
    /// Stops what still runs, then destroys services in the reverse of their starting order.
    ~kernel();
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;

    [[nodiscard]] tl::expected<void, kernel_error> add(std::string name, std::vector<std::string> needs,
                                                       std::unique_ptr<service> instance);
    /// Starts all services or none: after a failure those already started are stopped again.
    [[nodiscard]] tl::expected<void, kernel_error> start();
    void stop() noexcept;

    /// A running service as `T`, which is its class or an interface that it implements. The pointer is
    /// valid until the service stops.
    template <typename T>
    [[nodiscard]] tl::expected<T*, lookup_errc> find(std::string_view name) const
    {
        const tl::expected<service*, lookup_errc> found = find_service(name);
        if (!found)
            return tl::make_unexpected(found.error());
        T* typed = dynamic_cast<T*>(*found);
        if (typed == nullptr)
            return tl::make_unexpected(lookup_errc::wrong_type);
        return typed;
    }

private:
    struct entry {
        std::string name;
        std::vector<std::string> needs;
        std::unique_ptr<service> instance;
        bool running = false;
    };

    [[nodiscard]] tl::expected<service*, lookup_errc> find_service(std::string_view name) const;
    [[nodiscard]] entry* find_entry(std::string_view name) const;
    [[nodiscard]] tl::expected<std::vector<entry*>, kernel_error> start_order() const;

    std::vector<std::unique_ptr<entry>> entries_;
    std::vector<entry*> order_; ///< In starting order; set by `start`.
    std::size_t running_ = 0;   ///< The first of `order_` run.
    bool was_started_ = false;
};

} // namespace mjm
