#include "http_session.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include "godwitbarrow/gateway/codec.hpp"

namespace godwitbarrow::gateway::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

session::session(strand_socket s, http_server_ptr p)
    : socket(std::move(s)),
      server(std::move(p)),
      timer(socket.get_executor()),
      last_use(++server->uses),
      input(server->limits.header_bytes + server->limits.body_bytes)
{
}

namespace
{

constexpr std::size_t read_bytes = 4096;

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
    it->last_use = ++it->server->uses;
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

void read_some(const session_ptr& it)
{
    const auto room = it->input.max_size() - it->input.size();
    if (room == 0)
        return reject_unparsable(it, http::error::buffer_overflow);
    it->socket.async_read_some(it->input.prepare(std::min(read_bytes, room)),
                               [it](const error_code& ec, std::size_t n)
                               { after_read(it, ec, n); });
}

/// Whether the caller holds back the body until it is told to go on.
bool awaits_continue(const session_ptr& it)
{
    if (it->continue_sent || !it->parser->is_header_done())
        return false;
    const auto& header = it->parser->get();
    return header.version() >= http_version_11 &&
           boost::beast::iequals(header[http::field::expect], "100-continue");
}

void read_more(const session_ptr& it)
{
    constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
    if (!awaits_continue(it))
        return read_some(it);
    it->continue_sent = true;
    asio::async_write(it->socket, asio::buffer(go_on),
                      [it](const error_code& ec, std::size_t)
                      {
                          if (it->phase != session_phase::reading)
                              return;
                          if (it->read_timed_out || ec)
                              return close_session(it);
                          read_some(it);
                      });
}

void read_request(const session_ptr& it)
{
    it->phase = session_phase::reading;
    const auto& limits = it->server->limits;
    if (!std::exchange(it->first_request, false))
        set_timer(it, limits.request_read_timeout);
    it->continue_sent = false;
    it->head_only = false;
    it->parser.emplace();
    it->parser->eager(true);
    it->parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    it->parser->body_limit(limits.body_bytes);
    parse(it);
}

}  // namespace

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

namespace
{

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
    // A caller that has only just connected sends its first request next, and
    // could not tell whether it had run.
    if (it->phase != session_phase::idle || it->first_request)
        return;
    error_code ec;
    if (it->socket.available(ec) == 0)
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

void close_for_another(const session_ptr& it)
{
    if (it->phase != session_phase::in_flight)
        close_session(it);
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
