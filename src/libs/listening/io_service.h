#pragma once

#include "kernel/service.h"
#include "net/io_runtime.h"

namespace mjm {

/// The network thread.
class io_service final : public service {
public:
    tl::expected<void, start_failure> start(const kernel&) override
    {
        runtime_.start();
        return {};
    }
    void stop() noexcept override { runtime_.stop(); }

    [[nodiscard]] io_runtime& runtime() { return runtime_; }

private:
    io_runtime runtime_;
};

} // namespace mjm
