#include "net/http_client.h"

#include "core/clock.h"
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
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mjm {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using steady = std::chrono::steady_clock;

constexpr std::size_t max_response_header = 64 << 10;

std::string format_head(const http_endpoint& endpoint, const http_request& request)
{
    std::string out = request.method + " " + format_url_target(request.path, request.query) +
                      " HTTP/1.1\r\nhost: " + endpoint.address + ":" + std::to_string(endpoint.port) +
                      "\r\ncontent-length: " + std::to_string(request.body.size()) + "\r\n";
    for (const auto& [name, value] : request.headers) {
        append_header(out, name, value);
    }
    return out + "\r\n";
}

} // namespace

class http_client::impl : public std::enable_shared_from_this<http_client::impl> {
public:
    impl(asio::io_context& context, const http_client_settings& settings)
        : context_{context}, settings_{settings}
    {
    }

    class connection;

    struct call {
        http_endpoint endpoint;
        std::string method;
        std::string head;
        std::string body;
        steady::time_point deadline;
        duration answer_delay;
        /// The deadline on a clock that also counts suspended time. No byte is sent after it.
        timestamp timeout_at;
        timestamp send_until; ///< No byte is sent from then on, whatever is left of the timeout.
        callback done;
    };

    struct pool {
        std::vector<std::shared_ptr<connection>> idle; ///< The most recently used last.
        std::set<std::shared_ptr<connection>> open;    ///< Includes idle ones.
        std::deque<std::shared_ptr<call>> waiting;     ///< For a free connection.
    };

    void send(std::shared_ptr<call> c);
    /// Sends the call that has waited longest, when a connection has become free.
    void send_waiting(const http_endpoint& endpoint);
    /// Closes the idle connections from which nothing has come for the time after which answers are overdue.
    void close_suspects(const http_endpoint& endpoint);
    void close_all();

    asio::io_context& context_;
    const http_client_settings settings_;
    const system_clock_source time_;
    // Used on the I/O thread only.
    std::map<http_endpoint, pool> pools_;
    bool closed_ = false;
};

class http_client::impl::connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<impl> client, http_endpoint endpoint)
        : client_{std::move(client)}, endpoint_{std::move(endpoint)}, socket_{client_->context_},
          timer_{client_->context_}
    {
    }

    /// Connects and sends the first call.
    void open(std::shared_ptr<call> c)
    {
        call_ = std::move(c);
        error_code ec;
        const asio::ip::address address = asio::ip::make_address(endpoint_.address, ec);
        if (ec) {
            fail(http_errc::not_connected);
            return;
        }
        state_ = state::connecting;
        arm(std::min(call_->deadline, steady::now() + client_->settings_.connect_timeout));
        socket_.async_connect(tcp::endpoint{address, endpoint_.port},
                              [self = shared_from_this()](error_code connect_ec) {
                                  if (self->state_ != state::connecting)
                                      return;
                                  if (connect_ec) {
                                      self->fail(http_errc::not_connected);
                                      return;
                                  }
                                  error_code ignored;
                                  self->socket_.set_option(tcp::no_delay{true}, ignored);
                                  self->write();
                              });
    }

    /// True when the idle connection can take a call; it must be closed otherwise.
    [[nodiscard]] bool usable()
    {
        error_code ec;
        std::array<char, 1> byte{};
        socket_.non_blocking(true, ec);
        socket_.receive(asio::buffer(byte), tcp::socket::message_peek, ec);
        // Anything but silence means that the peer has closed or broken the protocol.
        return ec == asio::error::would_block;
    }

    [[nodiscard]] steady::time_point last_answer_at() const { return last_answer_at_; }

    void reuse(std::shared_ptr<call> c)
    {
        call_ = std::move(c);
        reused_ = true;
        ++use_;
        socket_.cancel();
        write();
    }

    void abort()
    {
        if (call_)
            fail(sent_ ? http_errc::connection_lost : http_errc::not_connected);
        else
            close();
    }

    void close()
    {
        if (state_ == state::closed)
            return;
        state_ = state::closed;
        error_code ec;
        timer_.cancel();
        socket_.close(ec);
        const auto it = client_->pools_.find(endpoint_);
        if (it == client_->pools_.end())
            return;
        const std::shared_ptr<connection> self = shared_from_this();
        std::erase(it->second.idle, self);
        it->second.open.erase(self);
        if (it->second.open.empty() && it->second.waiting.empty())
            client_->pools_.erase(it);
    }

private:
    enum class state { created, connecting, writing, reading, idle, closed };
    using parser = http::response_parser<http::string_body>;

    void arm(steady::time_point at)
    {
        timer_.expires_at(at);
        timer_.async_wait([self = shared_from_this()](error_code ec) {
            // The expiry is compared because a handler that is already queued cannot be cancelled any more.
            if (!ec && self->timer_.expiry() <= steady::now())
                self->on_timer();
        });
    }

    void on_timer()
    {
        if (state_ == state::idle) {
            close();
            return;
        }
        if (!call_)
            return;
        if (!sent_) {
            fail(http_errc::not_connected);
            return;
        }
        client_->close_suspects(endpoint_);
        if (steady::now() < call_->deadline)
            arm(call_->deadline); // The answer is overdue, but may still come.
        else
            fail(http_errc::timed_out);
    }

    [[nodiscard]] steady::time_point overdue_at() const
    {
        const std::optional<duration>& overdue_after = client_->settings_.overdue_after;
        if (!overdue_after)
            return call_->deadline;
        return std::min(call_->deadline, steady::now() + call_->answer_delay + *overdue_after);
    }

    void fail(http_errc ec)
    {
        // Unsent bytes must not reach the server after the caller has been told that the call has failed; a
        // reset discards them, while an orderly close would deliver them when the network recovers.
        error_code ignored;
        socket_.set_option(asio::socket_base::linger{true, 0}, ignored);
        complete(tl::unexpected{ec}, false);
    }

    /// Ends the call; the connection is closed unless it can be kept.
    void complete(tl::expected<http_response, http_errc> result, bool keep)
    {
        const std::shared_ptr<connection> self = shared_from_this();
        const std::shared_ptr<call> c = std::move(call_);
        call_.reset();
        if (keep && !client_->closed_)
            become_idle();
        else
            close();
        const std::shared_ptr<impl> client = client_;
        c->done(std::move(result));
        client->send_waiting(endpoint_);
    }

    void write()
    {
        // The call may have waited for a connection, or the I/O thread may have been paused.
        const timestamp now = client_->time_.now();
        if (now >= call_->send_until || now >= call_->timeout_at) {
            fail(now >= call_->send_until ? http_errc::expired : http_errc::not_connected);
            return;
        }
        state_ = state::writing;
        sent_ = true;
        arm(overdue_at());
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(call_->head), asio::buffer(call_->body)};
        asio::async_write(socket_, buffers,
                          [self = shared_from_this(), c = call_](error_code ec, std::size_t n) {
                              if (self->state_ == state::writing && self->call_ == c)
                                  self->on_written(ec, n);
                          });
    }

    void on_written(error_code ec, std::size_t n)
    {
        if (ec && n == 0) {
            sent_ = false;
            if (!reused_) {
                fail(http_errc::not_connected);
                return;
            }
            // The server closed the connection between two calls, so a new one may be tried.
            const std::shared_ptr<call> c = std::move(call_);
            call_.reset();
            close();
            client_->send(c);
            return;
        }
        // After a partial write the server may have answered early, for example that the body is too large.
        state_ = state::reading;
        read();
    }

    void read()
    {
        buffer_.reserve(client_->settings_.read_size);
        parser_.emplace();
        parser_->header_limit(max_response_header);
        parser_->body_limit(client_->settings_.max_response);
        if (call_->method == "HEAD")
            parser_->skip(true);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this(), c = call_](error_code ec, std::size_t) {
                             if (self->state_ == state::reading && self->call_ == c)
                                 self->on_read(ec);
                         });
    }

    void on_read(error_code ec)
    {
        if (ec) {
            const bool malformed =
                ec.category() == http::make_error_code(http::error::bad_version).category() &&
                ec != http::error::end_of_stream;
            fail(malformed || parser_->got_some() ? http_errc::bad_response : http_errc::connection_lost);
            return;
        }
        const int status = static_cast<int>(parser_->get().result_int());
        if (status >= 100 && status < 200) {
            read(); // interim answer
            return;
        }
        // A body that ends with the connection cannot be told from a truncated one.
        if (parser_->need_eof() && call_->method != "HEAD" && status != 204 && status != 304) {
            fail(http_errc::bad_response);
            return;
        }
        const bool keep = parser_->keep_alive() && buffer_.size() == 0;
        http::response<http::string_body> message = parser_->release();
        http_response response;
        response.status = status;
        response.content_type.clear();
        for (const auto& field : message) {
            const std::string value{field.value()};
            if (field.name() == http::field::content_type)
                response.content_type = value;
            else
                response.headers.emplace_back(lower_case(field.name_string()), value);
        }
        response.body = std::move(message.body());
        complete(std::move(response), keep);
    }

    void become_idle()
    {
        state_ = state::idle;
        sent_ = false;
        last_answer_at_ = steady::now();
        parser_.reset();
        buffer_.clear();
        buffer_.shrink_to_fit();
        client_->pools_[endpoint_].idle.push_back(shared_from_this());
        arm(steady::now() + client_->settings_.idle_timeout);
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), use = use_](error_code) {
            if (self->state_ == state::idle && self->use_ == use)
                self->close();
        });
    }

    std::shared_ptr<impl> client_;
    http_endpoint endpoint_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::optional<parser> parser_;
    std::shared_ptr<call> call_;
    state state_ = state::created;
    bool sent_ = false;   ///< Bytes of the current call may have been sent.
    bool reused_ = false; ///< A call was completed on this connection before.
    steady::time_point last_answer_at_;
    std::uint64_t use_ = 0;
};

void http_client::impl::send(std::shared_ptr<call> c)
{
    if (closed_) {
        c->done(tl::unexpected{http_errc::not_connected});
        return;
    }
    while (true) {
        // Looked up each time, because closing a connection may remove its pool.
        pool& p = pools_[c->endpoint];
        if (p.idle.empty())
            break;
        const std::shared_ptr<connection> it = p.idle.back();
        p.idle.pop_back();
        if (it->usable()) {
            it->reuse(std::move(c));
            return;
        }
        it->close();
    }
    pool& p = pools_[c->endpoint];
    if (p.open.size() >= settings_.max_connections_per_endpoint) {
        if (settings_.wait_for_connection)
            p.waiting.push_back(std::move(c));
        else
            c->done(tl::unexpected{http_errc::too_many});
        return;
    }
    const std::shared_ptr<connection> fresh = std::make_shared<connection>(shared_from_this(), c->endpoint);
    p.open.insert(fresh);
    fresh->open(std::move(c));
}

void http_client::impl::send_waiting(const http_endpoint& endpoint)
{
    while (!closed_) {
        const auto it = pools_.find(endpoint);
        if (it == pools_.end() || it->second.waiting.empty())
            return;
        pool& p = it->second;
        if (p.idle.empty() && p.open.size() >= settings_.max_connections_per_endpoint)
            return;
        const std::shared_ptr<call> c = p.waiting.front();
        p.waiting.pop_front();
        if (steady::now() >= c->deadline)
            c->done(tl::unexpected{http_errc::not_connected});
        else
            send(c);
    }
}

void http_client::impl::close_suspects(const http_endpoint& endpoint)
{
    const auto it = pools_.find(endpoint);
    if (it == pools_.end())
        return;
    const steady::time_point now = steady::now();
    const std::vector<std::shared_ptr<connection>> idle = it->second.idle; // Closing removes them.
    std::size_t closed = 0;
    for (const std::shared_ptr<connection>& c : idle) {
        if (now - c->last_answer_at() < settings_.overdue_after.value_or(duration{0}))
            continue;
        c->close();
        ++closed;
    }
    if (closed > 0 && settings_.on_suspects_closed)
        settings_.on_suspects_closed(closed);
}

void http_client::impl::close_all()
{
    closed_ = true;
    for (auto& [endpoint, p] : pools_) {
        for (const std::shared_ptr<call>& c : std::exchange(p.waiting, {}))
            c->done(tl::unexpected{http_errc::not_connected});
    }
    std::vector<std::shared_ptr<connection>> all;
    for (const auto& [endpoint, p] : pools_)
        all.insert(all.end(), p.open.begin(), p.open.end());
    for (const std::shared_ptr<connection>& it : all)
        it->abort();
}

http_client::http_client(io_runtime& runtime, const http_client_settings& settings)
    : impl_{std::make_shared<impl>(runtime.context(), settings)}
{
}

http_client::~http_client()
{
    asio::post(impl_->context_, [self = impl_] { self->close_all(); });
}

void http_client::send(const http_endpoint& endpoint, http_request request, duration timeout, callback done,
                       timestamp send_until, duration answer_delay)
{
    const std::shared_ptr<impl::call> c = std::make_shared<impl::call>();
    c->endpoint = endpoint;
    c->method = request.method;
    c->head = format_head(endpoint, request);
    c->body = std::move(request.body);
    c->deadline = steady::now() + timeout;
    c->answer_delay = answer_delay;
    c->timeout_at = impl_->time_.now() + timeout;
    c->send_until = send_until;
    c->done = std::move(done);
    asio::post(impl_->context_, [self = impl_, c] { self->send(c); });
}

} // namespace mjm
