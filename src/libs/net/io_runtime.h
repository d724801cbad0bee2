#pragma once

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace mjm {

/// One Asio event loop and the thread that runs it.
class io_runtime {
public:
    io_runtime();
    /// Stops the loop, joins the thread, and runs what is ready on the calling thread, so that callbacks of
    /// clients destroyed before are not lost. Servers and clients must be destroyed first.
    ~io_runtime();
    io_runtime(const io_runtime&) = delete;
    io_runtime& operator=(const io_runtime&) = delete;

    void start();
    /// Waits until what was posted before has run, for example the closing of destroyed clients. The loop
    /// must be running, and the caller must not be on its thread.
    void settle();
    void stop();
    [[nodiscard]] boost::asio::io_context& context();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mjm
