#include "net/http_server.h"

#include "net/header_text.h"
#include "net/io_runtime.h"
#include "net/url.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <exception>
#include <mutex>
#include <optional>
#include <set>

namespace mjm {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using steady = std::chrono::steady_clock;

// After an error answer the rest of the request is read and thrown away for this long; closing at once would
// reset the connection and could destroy the answer before the client has read it.
constexpr std::chrono::seconds linger_time{1};
// Connections above the limit that are told so; any beyond these are closed without an answer.
constexpr std::size_t max_refusals_at_once = 64;
// Pause after a failed accept, for example when the process has no file descriptor left.
constexpr std::chrono::milliseconds accept_retry{50};

struct request_error {
    int status = 400;
    std::string_view code;
    std::string_view detail;
};

http_response error_response(const request_error& e)
{
    http_response response;
    response.status = e.status;
    response.body = R"({"error": {"code": ")" + std::string{e.code} + R"(", "detail": ")" +
                    std::string{e.detail} + "\"}}";
    return response;
}

request_error describe(error_code ec)
{
    if (ec == http::error::header_limit)
        return {431, "header_too_large", "the request header exceeds the limit"};
    if (ec == http::error::body_limit)
        return {413, "body_too_large", "the request body exceeds the limit"};
    if (ec == http::error::partial_message)
        return {400, "incomplete_request", "the connection ended within the request"};
    return {400, "malformed_request", "the request is not valid HTTP/1.1"};
}

/// Place of one answer in the order of a connection.
struct answer_slot {
    bool interim = false; ///< `100 Continue`.
    bool ready = false;
    bool close = false; ///< The connection ends after this answer.
    bool head_only = false;
    bool http_1_0 = false;
    http_response response;
    std::string head;
};

} // namespace

class http_server::impl : public std::enable_shared_from_this<http_server::impl> {
public:
    impl(asio::io_context& context, const http_server_settings& settings, handler on_request)
        : context_{context}, settings_{settings}, on_request_{std::move(on_request)}, acceptor_{context},
          accept_timer_{context}
    {
    }

    class session;

    tl::expected<std::uint16_t, listen_errc> listen();
    void accept();
    void close_all();
    /// Runs the handler unless the server was stopped.
    void dispatch(http_request request, const responder& respond);
    /// Posts to the I/O thread unless the server was stopped.
    template <typename Work>
    void post_unless_stopped(Work work)
    {
        const std::lock_guard lock{post_gate_};
        if (!post_stopped_)
            asio::post(context_, std::move(work));
    }

    asio::io_context& context_;
    const http_server_settings settings_;
    std::atomic<std::size_t> open_{0};

    // Guards against handler calls after the destructor has returned; recursive because a handler may stop
    // the server from within its call.
    std::recursive_mutex handler_gate_;
    bool stopped_ = false;
    // Separate from the other one, so that an answer from another thread never waits for a handler.
    std::mutex post_gate_;
    bool post_stopped_ = false;
    handler on_request_;

    // Used on the I/O thread only, except before listening.
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    std::atomic<bool> draining_{false};
    std::set<std::shared_ptr<session>> sessions_;
};

class http_server::impl::session : public std::enable_shared_from_this<session> {
public:
    session(std::shared_ptr<impl> server, tcp::socket socket)
        : server_{std::move(server)}, socket_{std::move(socket)}, read_timer_{server_->context_},
          write_timer_{server_->context_}, buffer_{server_->settings_.max_header + read_ahead}
    {
    }

    void start()
    {
        error_code ec;
        socket_.set_option(tcp::no_delay{true}, ec);
        read_next();
    }

    void refuse()
    {
        error_code ec;
        socket_.set_option(tcp::no_delay{true}, ec);
        fail({503, "too_many_connections", "the server has reached its limit of connections"});
    }

    void close()
    {
        if (closed_)
            return;
        closed_ = true;
        error_code ec;
        read_timer_.cancel();
        write_timer_.cancel();
        socket_.close(ec);
        server_->open_.store(server_->sessions_.size() - 1);
        server_->sessions_.erase(shared_from_this());
    }

private:
    static constexpr std::size_t read_ahead = 64 << 10;

    using parser = http::request_parser<http::string_body>;

    template <typename Timer>
    void arm(Timer& timer, duration after, void (session::*expired)())
    {
        timer.expires_after(after);
        timer.async_wait([self = shared_from_this(), &timer, expired](error_code ec) {
            // The expiry is compared because a handler that is already queued cannot be cancelled any more.
            if (!ec && !self->closed_ && timer.expiry() <= steady::now())
                (self.get()->*expired)();
        });
    }
    static void disarm(asio::steady_timer& timer) { timer.expires_at(steady::time_point::max()); }

    void read_next()
    {
        if (closed_ || reading_ || input_ended_)
            return;
        if (slots_.size() >= server_->settings_.max_pipelined)
            return; // resumed when an answer has been written
        reading_ = true;
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(server_->settings_.max_header));
        parser_->body_limit(server_->settings_.max_body);
        if (buffer_.size() > 0) {
            read_header();
            return;
        }
        buffer_.shrink_to_fit(); // otherwise each idle connection would keep up to `read_ahead` bytes
        waiting_ = true;
        arm_idle_timer();
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
            self->waiting_ = false;
            if (self->closed_ || self->input_ended_)
                return;
            if (ec)
                self->close();
            else
                self->read_header();
        });
    }

    /// The idle time runs only while nothing is being read or answered. Before the first request the longer
    /// one of both limits applies.
    void arm_idle_timer()
    {
        const http_server_settings& limits = server_->settings_;
        if (waiting_ && slots_.empty())
            arm(read_timer_,
                served_ ? limits.idle_timeout : std::max(limits.idle_timeout, limits.header_timeout),
                &session::close);
        else if (waiting_)
            disarm(read_timer_);
    }

    void read_header()
    {
        arm(read_timer_, server_->settings_.header_timeout, &session::request_too_slow);
        http::async_read_header(socket_, buffer_, *parser_,
                                [self = shared_from_this()](error_code ec, std::size_t) {
                                    if (!self->closed_ && !self->input_ended_)
                                        self->on_header(ec);
                                });
    }

    void on_header(error_code ec)
    {
        if (ec) {
            on_read_error(ec);
            return;
        }
        const http::request_header<>& head = parser_->get().base();
        if (head.find(http::field::transfer_encoding) != head.end() && !parser_->chunked()) {
            reading_ = false;
            fail({501, "unsupported_transfer_encoding", "only chunked transfer encoding is supported"});
            return;
        }
        if (lower_case(head[http::field::expect]) == "100-continue" && !parser_->is_done()) {
            const std::shared_ptr<answer_slot> slot = std::make_shared<answer_slot>();
            slot->interim = true;
            slot->ready = true;
            slot->head = "HTTP/1.1 100 Continue\r\n\r\n";
            slots_.push_back(slot);
            write_next();
        }
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](error_code read_ec, std::size_t) {
                             if (!self->closed_ && !self->input_ended_)
                                 self->on_request(read_ec);
                         });
    }

    void on_read_error(error_code ec)
    {
        reading_ = false;
        disarm(read_timer_);
        if (ec == http::error::end_of_stream) {
            input_ended_ = true;
            if (slots_.empty())
                close();
        } else if (ec.category() == beast::http::make_error_code(http::error::bad_method).category()) {
            fail(describe(ec));
        } else {
            close();
        }
    }

    void request_too_slow()
    {
        if (input_ended_)
            return;
        fail({408, "request_timeout", "the request did not arrive in time"});
    }

    /// Queues an error answer that ends the connection.
    void fail(const request_error& e)
    {
        input_ended_ = true;
        disarm(read_timer_);
        const std::shared_ptr<answer_slot> slot = std::make_shared<answer_slot>();
        slot->response = error_response(e);
        slot->close = true;
        slot->ready = true;
        slots_.push_back(slot);
        write_next();
    }

    void on_request(error_code ec)
    {
        if (ec) {
            on_read_error(ec);
            return;
        }
        reading_ = false;
        disarm(read_timer_);
        http::request<http::string_body> message = parser_->release();
        const std::optional<url_target> target =
            parse_url_target(std::string_view{message.target().data(), message.target().size()});
        if (!target) {
            fail({400, "bad_target", "the request target is malformed"});
            return;
        }
        if (message.version() >= 11 && message.find(http::field::host) == message.end()) {
            fail({400, "missing_host", "the host header is missing"});
            return;
        }

        http_request request;
        request.method = std::string{message.method_string()};
        request.path = target->path;
        request.query = target->query;
        for (const auto& field : message) {
            std::string& value = request.headers[lower_case(field.name_string())];
            if (!value.empty())
                value += ", ";
            value += std::string_view{field.value().data(), field.value().size()};
        }
        const std::shared_ptr<answer_slot> slot = std::make_shared<answer_slot>();
        slot->close = !message.keep_alive();
        slot->head_only = message.method() == http::verb::head;
        slot->http_1_0 = message.version() < 11;
        request.body = std::move(message.body());
        slots_.push_back(slot);
        served_ = true;
        if (slot->close)
            input_ended_ = true;

        const std::shared_ptr<std::atomic<bool>> answered = std::make_shared<std::atomic<bool>>(false);
        server_->dispatch(std::move(request), [server = server_, weak = weak_from_this(), slot,
                                               answered](http_response response) {
            if (answered->exchange(true))
                return;
            server->post_unless_stopped([weak, slot, response = std::move(response)]() mutable {
                const std::shared_ptr<session> self = weak.lock();
                if (!self || self->closed_)
                    return;
                slot->response = std::move(response);
                slot->ready = true;
                self->write_next();
            });
        });
        read_next();
    }

    void format_head(answer_slot& slot)
    {
        const http_response& r = slot.response;
        const bool no_body = r.status == 204 || r.status == 304;
        std::string& out = slot.head;
        out = slot.http_1_0 ? "HTTP/1.0 " : "HTTP/1.1 ";
        out += std::to_string(r.status) + " ";
        out += std::string_view{http::obsolete_reason(http::int_to_status(static_cast<unsigned>(r.status)))};
        out += "\r\n";
        if (!no_body) {
            out += "content-type: " + r.content_type + "\r\n";
            out += "content-length: " + std::to_string(r.body.size()) + "\r\n";
        }
        for (const auto& [name, value] : r.headers) {
            append_header(out, name, value);
        }
        if (slot.close)
            out += "connection: close\r\n";
        else if (slot.http_1_0)
            out += "connection: keep-alive\r\n";
        out += "\r\n";
        if (no_body || slot.head_only)
            slot.response.body.clear();
    }

    void write_next()
    {
        if (closed_ || writing_ || slots_.empty() || !slots_.front()->ready)
            return;
        writing_ = true;
        const std::shared_ptr<answer_slot> slot = slots_.front();
        if (!slot->interim && slot->response.status == 0) {
            close();
            return;
        }
        if (!slot->interim) {
            // Answers to requests that were accepted before must still be sent, so only the last one closes.
            if (server_->draining_ && slots_.size() == 1 && !slot->close) {
                slot->close = true;
                input_ended_ = true;
            }
            format_head(*slot);
        }
        arm(write_timer_, server_->settings_.idle_timeout, &session::close);
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(slot->head),
                                                        asio::buffer(slot->response.body)};
        asio::async_write(socket_, buffers, [self = shared_from_this(), slot](error_code ec, std::size_t) {
            if (!self->closed_)
                self->on_written(ec, *slot);
        });
    }

    void on_written(error_code ec, const answer_slot& slot)
    {
        disarm(write_timer_);
        writing_ = false;
        if (ec) {
            close();
            return;
        }
        slots_.pop_front();
        if (slot.close || (input_ended_ && slots_.empty())) {
            finish();
            return;
        }
        arm_idle_timer();
        read_next();
        write_next();
    }

    void finish()
    {
        error_code ec;
        socket_.shutdown(tcp::socket::shutdown_send, ec);
        if (ec || reading_) {
            close();
            return;
        }
        arm(write_timer_, linger_time, &session::close);
        discard();
    }

    void discard()
    {
        buffer_.clear();
        socket_.async_read_some(asio::buffer(discarded_),
                                [self = shared_from_this()](error_code ec, std::size_t) {
                                    if (self->closed_)
                                        return;
                                    if (ec)
                                        self->close();
                                    else
                                        self->discard();
                                });
    }

    std::shared_ptr<impl> server_;
    tcp::socket socket_;
    asio::steady_timer read_timer_;
    asio::steady_timer write_timer_;
    beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    std::deque<std::shared_ptr<answer_slot>> slots_;
    std::array<char, 4096> discarded_{};
    bool reading_ = false; ///< A request is awaited or being read.
    bool served_ = false;  ///< A request was accepted on this connection.
    bool waiting_ = false; ///< No byte of the next request has arrived.
    bool writing_ = false;
    bool input_ended_ = false; ///< No further request is read.
    bool closed_ = false;
};

tl::expected<std::uint16_t, listen_errc> http_server::impl::listen()
{
    error_code ec;
    const asio::ip::address address = asio::ip::make_address(settings_.address, ec);
    if (ec)
        return tl::unexpected{listen_errc::bad_address};
    const tcp::endpoint endpoint{address, settings_.port};
    acceptor_.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor_.set_option(tcp::acceptor::reuse_address{true}, ec);
    if (!ec)
        acceptor_.bind(endpoint, ec);
    if (!ec)
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) {
        error_code ignored;
        acceptor_.close(ignored);
        if (ec == asio::error::address_in_use)
            return tl::unexpected{listen_errc::address_in_use};
        return tl::unexpected{ec == boost::system::errc::address_not_available ? listen_errc::bad_address
                                                                               : listen_errc::other};
    }
    const std::uint16_t port = acceptor_.local_endpoint(ec).port();
    asio::post(context_, [self = shared_from_this()] { self->accept(); });
    return port;
}

void http_server::impl::accept()
{
    if (!acceptor_.is_open())
        return;
    acceptor_.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
        if (!self->acceptor_.is_open())
            return;
        if (ec) {
            self->accept_timer_.expires_after(accept_retry);
            self->accept_timer_.async_wait([self](error_code) { self->accept(); });
            return;
        }
        const std::size_t open = self->sessions_.size();
        if (open < self->settings_.max_connections + max_refusals_at_once) {
            const std::shared_ptr<session> s = std::make_shared<session>(self, std::move(socket));
            self->sessions_.insert(s);
            self->open_.store(open + 1);
            if (open < self->settings_.max_connections)
                s->start();
            else
                s->refuse();
        }
        self->accept();
    });
}

void http_server::impl::close_all()
{
    error_code ec;
    acceptor_.close(ec);
    accept_timer_.cancel();
    const std::set<std::shared_ptr<session>> sessions = sessions_;
    for (const std::shared_ptr<session>& s : sessions)
        s->close();
}

void http_server::impl::dispatch(http_request request, const responder& respond)
{
    const std::lock_guard lock{handler_gate_};
    if (stopped_)
        return;
    try {
        on_request_(std::move(request), respond);
    } catch (const std::exception&) {
        respond(error_response({500, "internal_error", "the request could not be handled"}));
    }
}

http_server::http_server(io_runtime& runtime, const http_server_settings& settings, handler on_request)
    : impl_{std::make_shared<impl>(runtime.context(), settings, std::move(on_request))}
{
}

http_server::~http_server()
{
    stop();
}

tl::expected<std::uint16_t, listen_errc> http_server::listen()
{
    return impl_->listen();
}

void http_server::drain()
{
    impl_->draining_ = true;
    impl_->post_unless_stopped([self = impl_] {
        error_code ec;
        self->acceptor_.close(ec);
    });
}

void http_server::stop()
{
    {
        const std::lock_guard lock{impl_->handler_gate_};
        if (impl_->stopped_)
            return;
        impl_->stopped_ = true;
    }
    const std::lock_guard lock{impl_->post_gate_};
    impl_->post_stopped_ = true;
    asio::post(impl_->context_, [self = impl_] { self->close_all(); });
}

std::size_t http_server::open_connections() const
{
    return impl_->open_;
}

} // namespace mjm
