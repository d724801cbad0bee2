#pragma once

#include <tl/expected.hpp>

#include <string>

namespace mjm {

class kernel;

/// Why a service could not start; `detail` is for the operator.
struct start_failure {
    std::string detail;
};

/// A part of a program that the kernel starts and stops.
class service {
public:
    service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    virtual ~service() = default;

    /// Called after all needed services have started; these can be looked up in `services`. A service that
    /// fails to start releases what it acquired itself: it is not stopped.
    [[nodiscard]] virtual tl::expected<void, start_failure> start(const kernel& services) = 0;
    /// Called once after a successful start, while all needed services still run.
    virtual void stop() noexcept = 0;
};

} // namespace mjm
