#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

#include "godwitbarrow/gateway/codec.hpp"
#include "http_session.hpp"

namespace godwitbarrow::gateway::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

constexpr unsigned http_request_timeout = 408;
constexpr unsigned http_header_too_large = 431;

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

void after_write(const session_ptr& it, const error_code& ec,
                 bool was_in_flight)
{
    if (was_in_flight)
        --it->server->in_flight;
    if (it->phase != session_phase::writing)
        return;
    it->reply_header.clear();
    it->reply_body = {};
    if (ec)
        return close_session(it);
    if (!it->keep_alive)
        return linger(it);
    wait_for_request(it, it->server->limits.keep_alive_idle_timeout);
}

std::string header_of(const session& it, const http_reply& reply)
{
    http::response_header<> out;
    out.version(it.http_version);
    out.result(reply.status);
    out.set(http::field::content_type, reply.content_type);
    out.set(http::field::content_length, std::to_string(reply.body.size()));
    if (!it.keep_alive)
        out.set(http::field::connection, "close");
    else if (it.http_version < http_version_11)
        out.set(http::field::connection, "keep-alive");
    if (!reply.request_id.empty())
        out.set("X-Request-Id", reply.request_id);
    if (!reply.allow.empty())
        out.set(http::field::allow, reply.allow);
    if (reply.retry_after.count() > 0)
        out.set(http::field::retry_after,
                std::to_string(reply.retry_after.count()));
    std::ostringstream os;
    os << out;
    return os.str();
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

}  // namespace

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

void write(const session_ptr& it, http_reply reply)
{
    const bool was_in_flight = it->phase == session_phase::in_flight;
    it->phase = session_phase::writing;
    if (it->server->draining)
        it->keep_alive = false;
    if (it->head_only)
        reply.body.clear();
    it->reply_header = header_of(*it, reply);
    it->reply_body = std::move(reply.body);
    set_timer(it, it->server->limits.answer_write_timeout);
    const std::array<asio::const_buffer, 2> bufs{asio::buffer(it->reply_header),
                                                 asio::buffer(it->reply_body)};
    asio::async_write(it->socket, bufs,
                      [it, was_in_flight](const error_code& ec, std::size_t)
                      { after_write(it, ec, was_in_flight); });
}

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

}  // namespace godwitbarrow::gateway::detail
