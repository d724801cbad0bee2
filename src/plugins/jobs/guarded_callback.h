#pragma once

#include <memory>
#include <utility>

namespace mjm {

/// Wraps a callback so that it does nothing once `owner` has been destroyed.
template <typename Function>
auto guarded_callback(const std::shared_ptr<bool>& owner, Function f)
{
    return [alive = std::weak_ptr<bool>{owner}, f = std::move(f)](const auto&... args) mutable {
        if (!alive.expired())
            f(args...);
    };
}

} // namespace mjm
