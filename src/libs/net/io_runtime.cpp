#include "net/io_runtime.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cstdio>
#include <exception>
#include <future>
#include <optional>
#include <thread>

namespace mjm {

class io_runtime::impl {
public:
    boost::asio::io_context context_{1};
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> work_{
        context_.get_executor()};
    std::thread thread_;

    /// A failure of one callback, such as one to allocate memory, doesn't end the thread.
    void run()
    {
        while (!context_.stopped()) {
            try {
                context_.run();
            } catch (const std::exception& e) {
                std::fprintf(stderr, "{\"event\":\"network_callback_failed\",\"detail\":\"%s\"}\n", e.what());
            } catch (...) {
                std::fputs("{\"event\":\"network_callback_failed\"}\n", stderr);
            }
        }
    }
};

io_runtime::io_runtime() : impl_{std::make_unique<impl>()} {}

io_runtime::~io_runtime()
{
    stop();
    // Servers and clients that were destroyed shortly before have posted the closing of their connections.
    // Without it, connections and their owners would keep each other alive.
    impl_->context_.restart();
    impl_->context_.poll();
}

void io_runtime::start()
{
    if (!impl_->thread_.joinable())
        impl_->thread_ = std::thread{[this] { impl_->run(); }};
}

void io_runtime::settle()
{
    std::promise<void> reached;
    boost::asio::post(impl_->context_, [&reached] { reached.set_value(); });
    reached.get_future().wait();
}

void io_runtime::stop()
{
    impl_->context_.stop();
    if (impl_->thread_.joinable())
        impl_->thread_.join();
}

boost::asio::io_context& io_runtime::context()
{
    return impl_->context_;
}

} // namespace mjm
