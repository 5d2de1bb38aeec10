#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "state.hpp"

namespace godwitbarrow::stream
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace detail
{
namespace
{

template <int Level, int Name>
void set_option(tcp::socket& s, int value)
{
    error_code ec;
    s.set_option(asio::detail::socket_option::integer<Level, Name>(value), ec);
}

void set_options(connection& it)
{
    error_code ec;
    it.socket.set_option(tcp::no_delay(true), ec);
    it.socket.set_option(asio::socket_base::keep_alive(true), ec);
    const auto limit = static_cast<int>(it.within.silence_limit.count());
    set_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(it.socket, limit);
    set_option<IPPROTO_TCP, TCP_KEEPIDLE>(it.socket, 1);
    set_option<IPPROTO_TCP, TCP_KEEPINTVL>(it.socket, 1);
    set_option<IPPROTO_TCP, TCP_KEEPCNT>(it.socket,
                                         std::max(1, limit / 1000 - 1));
}

void finish_connect(const connection_ptr& it, error_code ec,
                    const std::function<void()>& connected)
{
    if (it->closed)
        return;
    it->deadline.cancel();
    if (ec)
        return fail(it, ec.message());
    set_options(*it);
    it->connected = true;
    connected();
    if (it->closed)
        return;
    if (it->sending.empty())
        write_some(it);
    it->started = true;
    read_some(it);
}

void start_connect(const connection_ptr& it, const core::endpoint& to,
                   std::chrono::milliseconds timeout,
                   std::function<void()>&& connected)
{
    error_code ec;
    const auto address = asio::ip::make_address(to.address, ec);
    if (ec)
        return fail(it, ec.message());
    it->deadline.expires_after(timeout);
    it->deadline.async_wait(
        [it](error_code aborted)
        {
            if (!aborted && !it->connected)
                fail(it, "connecting timed out");
        });
    it->socket.async_connect(
        {address, to.port},
        asio::bind_executor(it->strand, [it, connected = std::move(connected)](
                                            error_code result)
                            { finish_connect(it, result, connected); }));
}

}  // namespace
}  // namespace detail

connection_ptr adopt(tcp::socket socket, handlers on, const limits& within)
{
    auto it =
        std::make_shared<connection>(std::move(socket), std::move(on), within);
    it->connected = true;
    detail::set_options(*it);
    return it;
}

connection_ptr connect(const asio::any_io_executor& executor,
                       const core::endpoint& to,
                       std::chrono::milliseconds timeout,
                       std::function<void()> connected, handlers on,
                       const limits& within)
{
    auto it = std::make_shared<connection>(tcp::socket(executor), std::move(on),
                                           within);
    asio::post(it->strand,
               [it, to, timeout, connected = std::move(connected)]() mutable {
                   detail::start_connect(it, to, timeout, std::move(connected));
               });
    return it;
}

void start(const connection_ptr& it)
{
    asio::dispatch(it->strand,
                   [it]
                   {
                       it->started = true;
                       if (!it->closed)
                           detail::read_some(it);
                   });
}

void pause(const connection_ptr& it)
{
    it->paused = true;
}

void resume(const connection_ptr& it)
{
    if (!it->paused.exchange(false))
        return;
    asio::post(it->strand,
               [it]
               {
                   if (it->started && !it->closed && !it->reading)
                       detail::read_on(it);
               });
}

progress progress_of(const connection_ptr& it)
{
    progress out;
    out.lines = it->line_count;
    out.unfinished = it->unfinished_bytes;
    out.paused = it->paused;
    out.sent = it->sent_bytes;
    out.unsent = it->unsent_bytes;
    return out;
}

void send(const connection_ptr& it, std::string bytes)
{
    asio::dispatch(it->strand, [it, bytes = std::move(bytes)]
                   { detail::append(it, bytes); });
}

void close_after_sending(const connection_ptr& it)
{
    asio::dispatch(it->strand,
                   [it]
                   {
                       it->closing = true;
                       it->on.closed = {};
                       if (!it->closed && it->sending.empty())
                           detail::write_some(it);
                   });
}

void abort(const connection_ptr& it, const std::string& reason)
{
    // Bytes that have arrived are not kept, though the strand may be busy.
    it->abandoned = true;
    asio::post(it->strand, [it, reason] { detail::fail(it, reason); });
}

void close(const connection_ptr& it)
{
    it->abandoned = true;
    asio::dispatch(it->strand,
                   [it]
                   {
                       it->on.closed = {};
                       if (!it->closed)
                           detail::close_socket(*it);
                   });
}

}  // namespace godwitbarrow::stream
