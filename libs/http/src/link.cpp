#include "godwitbarrow/http/link.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <utility>

namespace godwitbarrow::http
{

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace detail
{
namespace
{

/// A whole set of settings files is the largest body, about 2.6 MB.
constexpr std::uint64_t largest_body_bytes = 16ULL * 1024 * 1024;

/// Owned by its asynchronous operations only. If the link owned it, a handler
/// that refers to the link would keep both for ever when the executor stops.
struct pending_call
{
    beast_http::request<beast_http::string_body> request;
    beast_http::response_parser<beast_http::string_body> parser;
    bool any_byte_sent = false;
    std::function<void(exchange_result)> handler;
};
using call_ptr = std::shared_ptr<pending_call>;

}  // namespace
}  // namespace detail

struct link
{
    explicit link(const asio::any_io_executor& executor)
        : strand(asio::make_strand(executor)), socket(strand), deadline(strand)
    {
    }

    asio::strand<asio::any_io_executor> strand;
    tcp::socket socket;
    core::timer deadline;
    boost::beast::flat_buffer buffer;
    std::string host;
    std::atomic<bool> open{false};
    /// Numbers the operation that `deadline` belongs to, because a timer that
    /// was cancelled may already have queued its handler.
    std::uint64_t operation = 0;
    bool timed_out = false;
    /// Whether a call is in flight.
    bool busy = false;
};

namespace detail
{
namespace
{

void close_socket(link& it)
{
    it.open = false;
    error_code ec;
    it.socket.close(ec);
}

void start_deadline(const link_ptr& it, core::time_point t)
{
    it->timed_out = false;
    const auto n = ++it->operation;
    it->deadline.expires_at(t);
    it->deadline.async_wait(
        [it, n](error_code ec)
        {
            if (ec || n != it->operation)
                return;
            it->timed_out = true;
            close_socket(*it);
        });
}

void stop_deadline(link& it)
{
    ++it.operation;
    it.deadline.cancel();
}

void finish(const link_ptr& it, const call_ptr& c, exchange_result result)
{
    stop_deadline(*it);
    it->busy = false;
    c->handler(std::move(result));
}

void fail(const link_ptr& it, const call_ptr& c, const std::string& what)
{
    const bool late = it->timed_out;
    close_socket(*it);
    failure f{c->any_byte_sent, late,
              late ? "no answer from " + it->host +
                         " in time; check that it answers or allow more time"
                   : "the connection to " + it->host + " broke (" + what +
                         "); open a new one"};
    finish(it, c, std::move(f));
}

void take_answer(const link_ptr& it, const call_ptr& c)
{
    auto message = c->parser.release();
    answer out{message.result_int(), std::move(message.body())};
    for (const auto& field : message)
        out.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    // Bytes after the answer would be taken for the answer of the next call.
    if (!message.keep_alive() || it->buffer.size() > 0)
        close_socket(*it);
    finish(it, c, std::move(out));
}

void read_answer(const link_ptr& it, const call_ptr& c)
{
    beast_http::async_read(it->socket, it->buffer, c->parser,
                           [it, c](error_code ec, std::size_t)
                           {
                               if (ec)
                                   fail(it, c, ec.message());
                               else
                                   take_answer(it, c);
                           });
}

void write_request(const link_ptr& it, const call_ptr& c)
{
    c->any_byte_sent = true;
    beast_http::async_write(it->socket, c->request,
                            [it, c](error_code ec, std::size_t)
                            {
                                if (ec)
                                    fail(it, c, ec.message());
                                else
                                    read_answer(it, c);
                            });
}

/// Whether the server has closed the idle connection or sent bytes on it.
bool is_stale(link& it)
{
    char buf = 0;
    error_code ec;
    it.socket.receive(asio::buffer(&buf, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block;
}

beast_http::verb verb_of(method it)
{
    switch (it)
    {
        case method::get:
            return beast_http::verb::get;
        case method::put:
            return beast_http::verb::put;
        case method::post:
            break;
    }
    return beast_http::verb::post;
}

call_ptr prepare(const link& it, call&& request)
{
    auto c = std::make_shared<pending_call>();
    c->parser.body_limit(largest_body_bytes);
    auto& r = c->request;
    r.version(11);
    r.method(verb_of(request.verb));
    r.target(request.target);
    r.set(beast_http::field::host, it.host);
    if (request.verb != method::get)
        r.set(beast_http::field::content_type, "application/json");
    for (const auto& n : request.headers)
        r.set(n.name, n.value);
    r.body() = std::move(request.body);
    r.prepare_payload();
    return c;
}

void start_exchange(const link_ptr& it, call&& request, core::time_point t,
                    std::function<void(exchange_result)>&& handler)
{
    if (it->busy)
        return handler(failure{false, false,
                               "the connection is in use; wait for its answer "
                               "or open another one"});
    if (t <= core::runtime_clock::now())
        return handler(failure{false, true,
                               "the deadline passed before the call was sent; "
                               "allow more time"});
    const auto c = prepare(*it, std::move(request));
    c->handler = std::move(handler);
    it->busy = true;
    it->timed_out = false;
    if (!it->open || is_stale(*it))
        return fail(it, c, "closed before the call");
    start_deadline(it, t);
    write_request(it, c);
}

core::error connect_error(const link& it, const std::string& what)
{
    return {core::error_kind::no_connection,
            "cannot connect to " + it.host + " (" +
                (it.timed_out ? "timed out" : what) +
                "); check the address and that the server runs"};
}

void connected(const link_ptr& it, error_code ec,
               const std::function<void(core::result<link_ptr>)>& handler)
{
    stop_deadline(*it);
    if (!ec && !it->timed_out)
        it->socket.set_option(tcp::no_delay(true), ec);
    if (!ec && !it->timed_out)
        it->socket.non_blocking(true, ec);
    if (ec || it->timed_out)
    {
        close_socket(*it);
        return handler(connect_error(*it, ec.message()));
    }
    it->open = true;
    handler(it);
}

}  // namespace
}  // namespace detail

const std::string* find_header(const answer& it, std::string_view name)
{
    const auto n = std::find_if(
        it.headers.begin(), it.headers.end(),
        [&](const header& h) { return boost::beast::iequals(h.name, name); });
    return n == it.headers.end() ? nullptr : &n->value;
}

void open_link(const asio::any_io_executor& executor, const core::endpoint& to,
               std::chrono::milliseconds timeout,
               std::function<void(core::result<link_ptr>)> handler)
{
    const auto it = std::make_shared<link>(executor);
    it->host = core::to_string(to);
    const auto start = [it, to, timeout, handler = std::move(handler)]
    {
        error_code ec;
        const auto address = asio::ip::make_address(to.address, ec);
        if (ec)
            return handler(detail::connect_error(*it, ec.message()));
        detail::start_deadline(it, core::runtime_clock::now() + timeout);
        it->socket.async_connect({address, to.port},
                                 [it, handler](error_code result)
                                 { detail::connected(it, result, handler); });
    };
    asio::post(it->strand, start);
}

void exchange(const link_ptr& it, call request, core::time_point reply_by,
              std::function<void(exchange_result)> handler)
{
    asio::post(it->strand,
               [it, request = std::move(request), reply_by,
                handler = std::move(handler)]() mutable
               {
                   detail::start_exchange(it, std::move(request), reply_by,
                                          std::move(handler));
               });
}

void close(const link_ptr& it)
{
    it->open = false;
    asio::post(it->strand, [it] { detail::close_socket(*it); });
}

bool is_open(const link_ptr& it)
{
    return it->open;
}

}  // namespace godwitbarrow::http
