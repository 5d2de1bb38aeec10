#include "godwitbarrow/stream/connection.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "godwitbarrow/core/clock.hpp"

namespace godwitbarrow::stream
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace detail
{
constexpr std::size_t first_buffer_bytes = 4096;
constexpr std::string_view line_end = "\r\n";
}  // namespace detail

struct connection
{
    connection(tcp::socket s, handlers h, const limits& l)
        : strand(asio::make_strand(s.get_executor())),
          socket(std::move(s)),
          deadline(strand),
          on(std::move(h)),
          within(l)
    {
    }

    asio::strand<asio::any_io_executor> strand;
    tcp::socket socket;
    core::timer deadline;
    handlers on;
    limits within;
    std::string input = std::string(detail::first_buffer_bytes, '\0');
    std::size_t filled = 0;
    /// Bytes of the unfinished line that hold no part of a line end.
    std::size_t searched = 0;
    std::string sending;
    std::string unsent;
    bool connected = false;
    bool closed = false;
    bool closing = false;
};

namespace detail
{
namespace
{

void read_some(const connection_ptr& it);
void write_some(const connection_ptr& it);

void close_socket(connection& it)
{
    it.closed = true;
    it.deadline.cancel();
    error_code ec;
    it.socket.close(ec);
}

void fail(const connection_ptr& it, const std::string& reason)
{
    if (it->closed)
        return;
    close_socket(*it);
    const auto closed = std::exchange(it->on.closed, {});
    if (closed)
        closed(reason);
}

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

/// Hands on the complete lines. False if the connection was closed. A line feed
/// or a carriage return alone is part of its line: a peer that ends lines only
/// at CR LF must not see two messages where this side saw one, or the reverse.
bool deliver_lines(const connection_ptr& it)
{
    std::size_t begin = 0;
    while (true)
    {
        const std::string_view all(it->input.data(), it->filled);
        const auto end = all.find(line_end, std::max(begin, it->searched));
        if (end == std::string_view::npos)
            break;
        const auto line = all.substr(begin, end - begin);
        begin = end + line_end.size();
        it->searched = begin;
        if (!it->closing)
            it->on.received(line);
        if (it->closed)
            return false;
    }
    it->input.erase(0, begin);
    it->filled -= begin;
    const bool half_end = it->filled > 0 && it->input[it->filled - 1] == '\r';
    it->searched = half_end ? it->filled - 1 : it->filled;
    return true;
}

void take_bytes(const connection_ptr& it, error_code ec, std::size_t n)
{
    if (it->closed)
        return;
    if (ec)
        return fail(it, ec.message());
    it->filled += n;
    if (!deliver_lines(it))
        return;
    if (it->filled > it->within.line_bytes)
        return fail(it, "a line is longer than the limit");
    read_some(it);
}

void read_some(const connection_ptr& it)
{
    if (it->input.size() < it->filled + first_buffer_bytes / 2)
        it->input.resize(std::max(it->filled * 2, first_buffer_bytes));
    it->socket.async_read_some(
        asio::buffer(it->input.data() + it->filled,
                     it->input.size() - it->filled),
        asio::bind_executor(it->strand, [it](error_code ec, std::size_t n)
                            { take_bytes(it, ec, n); }));
}

void written(const connection_ptr& it, error_code ec)
{
    if (it->closed)
        return;
    if (ec)
        return fail(it, ec.message());
    it->sending.clear();
    write_some(it);
}

void write_some(const connection_ptr& it)
{
    if (it->unsent.empty())
    {
        if (it->closing)
            close_socket(*it);
        return;
    }
    std::swap(it->sending, it->unsent);
    asio::async_write(
        it->socket, asio::buffer(it->sending),
        asio::bind_executor(
            it->strand, [it](error_code ec, std::size_t) { written(it, ec); }));
}

void append(const connection_ptr& it, const std::string& bytes)
{
    if (it->closed || it->closing)
        return;
    it->unsent += bytes;
    if (it->unsent.size() > it->within.unsent_bytes)
        return fail(it, "the peer does not read");
    if (it->connected && it->sending.empty())
        write_some(it);
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
    asio::dispatch(it->strand, [it] { detail::read_some(it); });
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

void close(const connection_ptr& it)
{
    asio::dispatch(it->strand,
                   [it]
                   {
                       it->on.closed = {};
                       if (!it->closed)
                           detail::close_socket(*it);
                   });
}

}  // namespace godwitbarrow::stream
