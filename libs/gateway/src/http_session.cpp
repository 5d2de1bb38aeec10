#include "http_session.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include "godwitbarrow/gateway/codec.hpp"

namespace godwitbarrow::gateway::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

session::session(tcp::socket s, http_server_ptr p)
    : socket(std::move(s)),
      server(std::move(p)),
      timer(socket.get_executor()),
      input(server->limits.header_bytes + server->limits.body_bytes)
{
}

namespace
{

constexpr std::size_t read_bytes = 4096;
constexpr unsigned http_request_timeout = 408;
constexpr unsigned http_header_too_large = 431;

void expire(const session_ptr& it);

void set_timer(const session_ptr& it, core::duration timeout)
{
    it->timer.expires_after(timeout);
    it->timer.async_wait(
        [it, epoch = ++it->timer_epoch](const error_code& ec)
        {
            if (!ec && epoch == it->timer_epoch)
                expire(it);
        });
}

void cancel_timer(const session_ptr& it)
{
    ++it->timer_epoch;
    it->timer.cancel();
}

void expire(const session_ptr& it)
{
    if (it->phase != session_phase::reading)
        return close_session(it);
    // The pending read ends with an error and then sends the reply.
    it->read_timed_out = true;
    error_code ec;
    it->socket.cancel(ec);
}

void discard_input(const session_ptr& it)
{
    it->socket.async_read_some(
        asio::buffer(it->discarded),
        [it](const error_code& ec, std::size_t)
        {
            if (ec || it->phase != session_phase::lingering)
                return close_session(it);
            discard_input(it);
        });
}

void linger(const session_ptr& it)
{
    it->phase = session_phase::lingering;
    set_timer(it, it->server->limits.linger_timeout);
    error_code ec;
    it->socket.shutdown(tcp::socket::shutdown_send, ec);
    discard_input(it);
}

void wait_for_request(const session_ptr& it, core::duration timeout);

void after_write(const session_ptr& it, const error_code& ec,
                 bool was_in_flight)
{
    if (was_in_flight)
        --it->server->in_flight;
    if (it->phase != session_phase::writing)
        return;
    it->response = {};
    if (ec)
        return close_session(it);
    if (!it->keep_alive)
        return linger(it);
    wait_for_request(it, it->server->limits.keep_alive_idle_timeout);
}

void fill_response(const session_ptr& it, http_reply reply)
{
    auto& out = it->response;
    out.version(it->http_version);
    out.result(reply.status);
    out.set(http::field::content_type, reply.content_type);
    if (!reply.request_id.empty())
        out.set("X-Request-Id", reply.request_id);
    if (!reply.allow.empty())
        out.set(http::field::allow, reply.allow);
    if (reply.retry_after.count() > 0)
        out.set(http::field::retry_after,
                std::to_string(reply.retry_after.count()));
    out.keep_alive(it->keep_alive);
    if (!it->head_only)
        out.body() = std::move(reply.body);
    out.prepare_payload();
}

void write(const session_ptr& it, http_reply reply)
{
    const bool was_in_flight = it->phase == session_phase::in_flight;
    it->phase = session_phase::writing;
    if (it->server->draining)
        it->keep_alive = false;
    fill_response(it, std::move(reply));
    set_timer(it, it->server->limits.answer_write_timeout);
    http::async_write(it->socket, it->response,
                      [it, was_in_flight](const error_code& ec, std::size_t)
                      { after_write(it, ec, was_in_flight); });
}

/// The id of a request whose header has arrived, or a new one.
core::request_id id_for_error(const session_ptr& it)
{
    std::string_view given;
    if (it->parser && it->parser->is_header_done())
    {
        const auto field = it->parser->get()["X-Request-Id"];
        given = {field.data(), field.size()};
    }
    auto id = resolve_request_id(given, it->server->limits.execute);
    if (!core::ok(id))
        id = resolve_request_id({}, it->server->limits.execute);
    return std::get<core::request_id>(id);
}

/// Answers a request that was not read to its end, and ends the connection.
void reject(const session_ptr& it, core::error_kind kind, unsigned status,
            std::string message)
{
    it->keep_alive = false;
    write(it,
          error_reply(id_for_error(it), {kind, std::move(message)}, status));
}

void reject_slow(const session_ptr& it)
{
    const auto limit = it->server->limits.request_read_timeout;
    reject(it, core::error_kind::deadline_exceeded, http_request_timeout,
           "the request did not arrive whole within " +
               std::to_string(limit.count()) +
               " ms; send it faster or check the network");
}

void reject_unparsable(const session_ptr& it, const error_code& ec)
{
    const auto& limits = it->server->limits;
    if (ec == http::error::body_limit)
        return reject(it, core::error_kind::request_too_large,
                      http_status(core::error_kind::request_too_large),
                      "the body exceeds " + std::to_string(limits.body_bytes) +
                          " bytes; send a smaller statement");
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return reject(
            it, core::error_kind::request_too_large, http_header_too_large,
            "the header exceeds " + std::to_string(limits.header_bytes) +
                " bytes; send fewer or shorter fields");
    reject(it, core::error_kind::malformed_request,
           http_status(core::error_kind::malformed_request),
           "the request is not valid HTTP/1.1 (" + ec.message() +
               "); correct the client");
}

void watch_caller(const session_ptr& it);

/// Whether the caller closed its side and left nothing to read.
bool caller_closed(const session_ptr& it)
{
    error_code ec;
    char byte = 0;
    it->socket.non_blocking(true, ec);
    it->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec && ec != asio::error::would_block;
}

void caller_readable(const session_ptr& it)
{
    error_code ec;
    if (it->socket.available(ec) > 0 && !ec)
        return;  // A pipelined request; it is read after the answer.
    if (!caller_closed(it))
        return watch_caller(it);
    it->keep_alive = false;
    if (it->server->handlers.on_gone)
        it->server->handlers.on_gone(it->request_id);
}

void watch_caller(const session_ptr& it)
{
    it->socket.async_wait(tcp::socket::wait_read,
                          [it, exchange = it->exchange](const error_code& ec)
                          {
                              if (!ec &&
                                  it->phase == session_phase::in_flight &&
                                  it->exchange == exchange)
                                  caller_readable(it);
                          });
}

void hand_on(const session_ptr& it)
{
    cancel_timer(it);
    auto req = it->parser->release();
    it->parser.reset();
    it->phase = session_phase::in_flight;
    ++it->exchange;
    ++it->server->in_flight;
    it->http_version = req.version();
    it->keep_alive = req.keep_alive();
    it->head_only = req.method() == http::verb::head;
    it->request_id = {};
    watch_caller(it);
    it->server->handlers.on_request(it, std::move(req));
}

void read_more(const session_ptr& it);

/// Parses what has arrived; hands on a whole request.
void parse(const session_ptr& it)
{
    while (it->input.size() > 0)
    {
        error_code ec;
        const auto used = it->parser->put(it->input.data(), ec);
        it->input.consume(used);
        if (ec == http::error::need_more)
            break;
        if (ec)
            return reject_unparsable(it, ec);
        if (it->parser->is_done())
            return hand_on(it);
        if (used == 0)
            break;
    }
    read_more(it);
}

void after_read(const session_ptr& it, const error_code& ec, std::size_t n)
{
    if (it->phase != session_phase::reading)
        return;
    if (it->read_timed_out)
        return reject_slow(it);
    if (ec == asio::error::eof &&
        (it->parser->got_some() || it->input.size() > 0))
        return reject_unparsable(it, http::error::partial_message);
    if (ec)
        return close_session(it);
    it->input.commit(n);
    parse(it);
}

void read_more(const session_ptr& it)
{
    const auto room = it->input.max_size() - it->input.size();
    if (room == 0)
        return reject_unparsable(it, http::error::buffer_overflow);
    it->socket.async_read_some(it->input.prepare(std::min(read_bytes, room)),
                               [it](const error_code& ec, std::size_t n)
                               { after_read(it, ec, n); });
}

void read_request(const session_ptr& it)
{
    it->phase = session_phase::reading;
    const auto& limits = it->server->limits;
    if (!std::exchange(it->first_request, false))
        set_timer(it, limits.request_read_timeout);
    it->parser.emplace();
    it->parser->eager(true);
    it->parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    it->parser->body_limit(limits.body_bytes);
    parse(it);
}

void wait_for_request(const session_ptr& it, core::duration timeout)
{
    if (it->input.size() > 0)
        return read_request(it);
    it->input.shrink_to_fit();
    it->phase = session_phase::idle;
    set_timer(it, timeout);
    if (it->server->draining)
        close_if_idle(it);
    if (it->phase != session_phase::idle)
        return;
    it->socket.async_wait(tcp::socket::wait_read,
                          [it](const error_code& ec)
                          {
                              if (it->phase != session_phase::idle)
                                  return;
                              if (ec)
                                  return close_session(it);
                              read_request(it);
                          });
}

void answer(const session_ptr& it, exchange_number exchange, http_reply reply)
{
    if (it->phase != session_phase::in_flight || it->exchange != exchange)
        return;
    error_code ec;
    it->socket.cancel(ec);
    write(it, std::move(reply));
}

}  // namespace

void serve(const session_ptr& it)
{
    wait_for_request(it, it->server->limits.request_read_timeout);
}

void refuse(const session_ptr& it)
{
    reject(it, core::error_kind::overloaded,
           http_status(core::error_kind::overloaded),
           "this host has too many open connections; reuse connections or "
           "connect to another host");
}

void close_if_idle(const session_ptr& it)
{
    error_code ec;
    if (it->phase == session_phase::idle && it->socket.available(ec) == 0)
        close_session(it);
}

void close_session(const session_ptr& it)
{
    if (it->phase == session_phase::closed)
        return;
    if (it->phase == session_phase::in_flight)
        --it->server->in_flight;
    it->phase = session_phase::closed;
    cancel_timer(it);
    error_code ec;
    it->socket.close(ec);
    forget(it);
}

exchange_number current_exchange(const session_ptr& it)
{
    return it->exchange;
}

void set_request_id(const session_ptr& it, const core::request_id& id)
{
    it->request_id = id;
}

void reply_to(const session_ptr& it, exchange_number exchange, http_reply reply)
{
    asio::post(it->socket.get_executor(),
               [it, exchange, reply = std::move(reply)]() mutable
               { answer(it, exchange, std::move(reply)); });
}

}  // namespace godwitbarrow::gateway::detail
