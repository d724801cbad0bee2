#include "net/http_server.h"

#include "net/connection_admission.h"
#include "net/header_text.h"
#include "net/http_exchange.h"
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
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

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
constexpr std::size_t max_refusals_at_once = 16;
// Memory of a waiting answer beside its text.
constexpr std::size_t bytes_per_answer = 512;
// Pause after a failed accept, for example when the process has no file descriptor left.
constexpr std::chrono::milliseconds accept_retry{50};

} // namespace

class http_server::impl : public std::enable_shared_from_this<http_server::impl> {
public:
    impl(asio::io_context& context, const http_server_settings& settings, handler on_request)
        : context_{context}, settings_{settings}, on_request_{std::move(on_request)}, acceptor_{context},
          accept_timer_{context}, admission_{{settings.max_connections, settings.max_held_bytes}}
    {
    }

    class session;
    using connection_id = connection_admission::connection_id;

    tl::expected<std::uint16_t, listen_errc> listen();
    void accept();
    void add_session(tcp::socket socket);
    void close_all();
    void close_displaced(const std::vector<connection_id>& ids);
    void count(refusal_reason reason) const
    {
        if (settings_.on_refusal)
            settings_.on_refusal(reason);
    }
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
    std::atomic<std::size_t> released_{0}; ///< Of requests that were passed on; not yet in `admission_`.

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
    connection_admission admission_;
    std::map<connection_id, std::shared_ptr<session>> sessions_;
    connection_id next_id_ = 0;
    std::array<char, 4096> discarded_{}; ///< Shared by all sessions, since nobody reads it.
};

class http_server::impl::session : public std::enable_shared_from_this<session> {
public:
    session(std::shared_ptr<impl> server, connection_id id, tcp::socket socket)
        : server_{std::move(server)}, id_{id}, socket_{std::move(socket)}, read_timer_{server_->context_},
          write_timer_{server_->context_}, buffer_{server_->settings_.max_header + read_ahead}
    {
    }

    void start()
    {
        error_code ec;
        socket_.set_option(tcp::no_delay{true}, ec);
        guard([this] { read_next(); });
    }

    void refuse()
    {
        error_code ec;
        socket_.set_option(tcp::no_delay{true}, ec);
        fail({503, "too_many_connections", "the server has reached its limit of connections",
              refusal_reason::too_many_connections});
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
        server_->admission_.close(id_);
        server_->sessions_.erase(id_);
        server_->open_.store(server_->sessions_.size());
    }
    void close(refusal_reason reason)
    {
        if (closed_)
            return;
        server_->count(reason);
        close();
    }

private:
    static constexpr std::size_t read_ahead = 64 << 10;

    /// Memory of a request that was passed on; released when its responder is gone.
    class passed_on_bytes {
    public:
        explicit passed_on_bytes(std::shared_ptr<impl> server) : server_{std::move(server)} {}
        ~passed_on_bytes() { server_->released_ += bytes_; }
        passed_on_bytes(const passed_on_bytes&) = delete;
        passed_on_bytes& operator=(const passed_on_bytes&) = delete;
        void set(std::size_t n) { bytes_ = n; }

    private:
        const std::shared_ptr<impl> server_;
        std::size_t bytes_ = 0;
    };

    template <typename Timer>
    void arm(Timer& timer, duration after, void (session::*expired)())
    {
        timer.expires_after(after);
        timer.async_wait([self = shared_from_this(), &timer, expired](error_code ec) {
            // The expiry is compared because a handler that is already queued cannot be cancelled any more.
            if (!ec && !self->closed_ && timer.expiry() <= steady::now())
                self->guard([&] { (self.get()->*expired)(); });
        });
    }
    /// Runs one step of the connection. A failure, such as one to allocate memory, ends this connection only.
    template <typename Step>
    void guard(Step step)
    {
        try {
            step();
        } catch (const std::exception&) {
            close(refusal_reason::internal_error);
        }
    }
    /// Asks for the memory that the connection holds at present, and `more`. Closes others in its favour.
    [[nodiscard]] bool hold(std::size_t more)
    {
        std::size_t n = buffer_.capacity() + more;
        for (const std::shared_ptr<answer_slot>& slot : slots_)
            n += bytes_per_answer + (slot->ready ? slot->head.size() + slot->response.body.size() : 0);
        // What the client sends ahead stays in the buffer of the operating system.
        if (slots_.size() >= server_->settings_.max_pipelined)
            n += server_->settings_.receive_buffer;
        server_->admission_.release_passed_on(server_->released_.exchange(0));
        const connection_admission::decision d = server_->admission_.hold(id_, n);
        server_->close_displaced(d.displaced);
        return d.admitted;
    }
    bool hold_all()
    {
        return hold(reading_ && !waiting_ ? bytes_of_request(*parser_, server_->settings_.max_header) : 0);
    }
    /// Whether a request was passed on and is not answered.
    [[nodiscard]] bool handling() const
    {
        return std::any_of(slots_.begin(), slots_.end(),
                           [](const std::shared_ptr<answer_slot>& s) { return !s->ready; });
    }
    void update_phase()
    {
        connection_phase phase = connection_phase::idle;
        if (handling())
            phase = connection_phase::handling;
        else if (reading_ && !waiting_)
            phase = connection_phase::receiving;
        else if (!slots_.empty() || input_ended_)
            phase = connection_phase::sending;
        server_->admission_.set_phase(id_, phase);
    }
    static void disarm(asio::steady_timer& timer) { timer.expires_at(steady::time_point::max()); }

    void read_next()
    {
        if (closed_ || reading_ || input_ended_)
            return;
        if (buffer_.size() == 0)
            buffer_.shrink_to_fit(); // otherwise each idle connection would keep up to `read_ahead` bytes
        const bool admitted = hold(0);
        if (!admitted && !handling()) {
            close(refusal_reason::memory_full);
            return;
        }
        if (!admitted || slots_.size() >= server_->settings_.max_pipelined)
            return; // resumed when an answer has been written
        reading_ = true;
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(server_->settings_.max_header));
        parser_->body_limit(server_->settings_.max_body);
        if (buffer_.size() > 0) {
            begin_request();
            return;
        }
        waiting_ = true;
        update_phase();
        arm_idle_timer();
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
            self->waiting_ = false;
            if (self->closed_ || self->input_ended_)
                return;
            if (ec)
                self->close();
            else
                self->guard([&] { self->begin_request(); });
        });
    }

    void begin_request()
    {
        update_phase();
        if (hold(server_->settings_.max_header))
            read_header();
        else
            fail_request(memory_full_error);
    }

    /// The idle time runs only while nothing is being read or answered. Before the first request the longer
    /// one of both limits applies.
    void arm_idle_timer()
    {
        const http_server_settings& limits = server_->settings_;
        if (waiting_ && slots_.empty())
            arm(read_timer_,
                served_ ? limits.idle_timeout : std::max(limits.idle_timeout, limits.header_timeout),
                &session::close_idle);
        else if (waiting_)
            disarm(read_timer_);
    }

    void read_header()
    {
        arm(read_timer_, server_->settings_.header_timeout, &session::request_too_slow);
        http::async_read_header(socket_, buffer_, *parser_,
                                [self = shared_from_this()](error_code ec, std::size_t) {
                                    if (!self->closed_ && !self->input_ended_)
                                        self->guard([&] { self->on_header(ec); });
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
            fail_request(
                {501, "unsupported_transfer_encoding", "only chunked transfer encoding is supported"});
            return;
        }
        if (!check_fields())
            return;
        if (!hold(bytes_of_request(*parser_, server_->settings_.max_header))) {
            fail_request(memory_full_error);
            return;
        }
        if (lower_case(head[http::field::expect]) == "100-continue" && !parser_->is_done()) {
            slots_.push_back(make_continue_slot());
            write_next();
        }
        read_body();
    }

    void read_body()
    {
        if (parser_->is_done()) {
            on_request();
            return;
        }
        http::async_read_some(socket_, buffer_, *parser_,
                              [self = shared_from_this()](error_code ec, std::size_t) {
                                  if (!self->closed_ && !self->input_ended_)
                                      self->guard([&] { self->on_body(ec); });
                              });
    }

    void on_body(error_code ec)
    {
        if (ec) {
            on_read_error(ec);
            return;
        }
        // The size of a body in chunks is not announced.
        if (parser_->chunked() && !hold(bytes_of_request(*parser_, server_->settings_.max_header))) {
            fail_request(memory_full_error);
            return;
        }
        read_body();
    }

    /// Refuses a request with more fields than any client needs; each costs a multiple of its own size.
    [[nodiscard]] bool check_fields()
    {
        if (!has_too_many_fields(*parser_, server_->settings_.max_fields))
            return true;
        fail_request({431, "too_many_fields", "the request has too many header fields or parameters",
                      refusal_reason::too_many_fields});
        return false;
    }

    /// Like `fail`; no operation on the request may be pending.
    void fail_request(const request_error& e)
    {
        reading_ = false;
        parser_.reset();
        fail(e);
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
            fail_request(describe(ec));
        } else {
            close();
        }
    }

    void request_too_slow()
    {
        if (input_ended_)
            return;
        fail(
            {408, "request_timeout", "the request did not arrive in time", refusal_reason::request_too_slow});
    }

    /// Queues an error answer that ends the connection.
    void fail(const request_error& e)
    {
        server_->count(e.reason);
        input_ended_ = true;
        disarm(read_timer_);
        slots_.push_back(make_error_slot(e));
        update_phase();
        hold_all();
        write_next();
    }

    void on_request()
    {
        // The trailer of a body in chunks may have added fields.
        if (!check_fields())
            return;
        const std::size_t passed_on = bytes_of_request(*parser_, server_->settings_.max_header);
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

        const std::shared_ptr<answer_slot> slot = std::make_shared<answer_slot>();
        slot->close = !message.keep_alive();
        slot->head_only = message.method() == http::verb::head;
        slot->http_1_0 = message.version() < 11;
        slots_.push_back(slot);
        served_ = true;
        if (slot->close)
            input_ended_ = true;

        update_phase();
        parser_.reset();
        const std::shared_ptr<passed_on_bytes> held = std::make_shared<passed_on_bytes>(server_);
        held->set(server_->admission_.pass_on(id_, passed_on));
        const std::shared_ptr<std::atomic<bool>> answered = std::make_shared<std::atomic<bool>>(false);
        server_->dispatch(
            to_request(std::move(message), *target),
            [server = server_, weak = weak_from_this(), slot, answered, held](http_response response) {
                if (answered->exchange(true))
                    return;
                server->post_unless_stopped([weak, slot, response = std::move(response)]() mutable {
                    const std::shared_ptr<session> self = weak.lock();
                    if (self && !self->closed_)
                        self->guard([&] { self->on_answer(*slot, std::move(response)); });
                });
            });
        read_next();
    }

    void on_answer(answer_slot& slot, http_response response)
    {
        slot.response = std::move(response);
        slot.ready = true;
        update_phase();
        // A first answer is sent in any case; further ones need memory until the client has read it.
        if (hold_all() || !writing_)
            write_next();
        else
            close(refusal_reason::answer_not_read);
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
        arm(write_timer_, server_->settings_.idle_timeout, &session::answer_not_read);
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(slot->head),
                                                        asio::buffer(slot->response.body)};
        asio::async_write(socket_, buffers, [self = shared_from_this(), slot](error_code ec, std::size_t) {
            if (!self->closed_)
                self->guard([&] { self->on_written(ec, *slot); });
        });
    }

    void answer_not_read() { close(refusal_reason::answer_not_read); }
    void close_idle() { close(); }

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
        update_phase();
        arm_idle_timer();
        hold_all(); // fewer than before
        read_next();
        if (!closed_)
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
        arm(write_timer_, linger_time, &session::close_idle);
        discard();
    }

    void discard()
    {
        buffer_.clear();
        socket_.async_read_some(asio::buffer(server_->discarded_),
                                [self = shared_from_this()](error_code ec, std::size_t) {
                                    if (self->closed_)
                                        return;
                                    if (ec)
                                        self->close();
                                    else
                                        self->guard([&] { self->discard(); });
                                });
    }

    std::shared_ptr<impl> server_;
    const connection_id id_;
    tcp::socket socket_;
    asio::steady_timer read_timer_;
    asio::steady_timer write_timer_;
    beast::flat_buffer buffer_;
    std::optional<request_parser> parser_;
    std::deque<std::shared_ptr<answer_slot>> slots_;
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
    // Accepted sockets inherit these sizes; if they can't be set, those of the operating system hold.
    error_code ignored;
    acceptor_.set_option(asio::socket_base::receive_buffer_size{static_cast<int>(settings_.receive_buffer)},
                         ignored);
    acceptor_.set_option(asio::socket_base::send_buffer_size{static_cast<int>(settings_.send_buffer)},
                         ignored);
    if (!ec)
        acceptor_.bind(endpoint, ec);
    if (!ec)
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) {
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
        try {
            self->add_session(std::move(socket));
        } catch (const std::exception&) {
            self->count(refusal_reason::internal_error);
        }
        self->accept();
    });
}

void http_server::impl::add_session(tcp::socket socket)
{
    if (sessions_.size() >= settings_.max_connections + max_refusals_at_once) {
        count(refusal_reason::too_many_connections);
        return;
    }
    const connection_id id = next_id_++;
    const std::shared_ptr<session> s = std::make_shared<session>(shared_from_this(), id, std::move(socket));
    sessions_.emplace(id, s);
    const connection_admission::decision d = admission_.open(id);
    close_displaced(d.displaced);
    open_.store(sessions_.size());
    if (d.admitted)
        s->start();
    else
        s->refuse();
}

void http_server::impl::close_displaced(const std::vector<connection_id>& ids)
{
    for (const connection_id id : ids) {
        const auto it = sessions_.find(id);
        if (it != sessions_.end()) {
            const std::shared_ptr<session> s = it->second;
            s->close(refusal_reason::displaced);
        }
    }
}

void http_server::impl::close_all()
{
    error_code ec;
    acceptor_.close(ec);
    accept_timer_.cancel();
    const std::map<connection_id, std::shared_ptr<session>> sessions = sessions_;
    for (const auto& [id, s] : sessions)
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
