#include "godwitbarrow/stream/connection.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <utility>
#include <vector>

#include "godwitbarrow/core/clock.hpp"

namespace godwitbarrow::stream
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace detail
{
constexpr std::size_t first_buffer_bytes = 4096;
/// Room for the next bytes of a long line.
constexpr std::size_t most_growth_bytes = std::size_t{256} * 1024;
/// An empty output buffer larger than this is given back.
constexpr std::size_t kept_output_bytes = std::size_t{16} * 1024;
constexpr std::size_t holding_step = 4096;
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
    std::vector<char> input = std::vector<char>(detail::first_buffer_bytes);
    std::size_t filled = 0;
    /// Bytes of the unfinished line that hold no part of a line end.
    std::size_t searched = 0;
    std::string sending;
    /// Bytes of `sending` that the system has taken.
    std::size_t taken = 0;
    std::string unsent;
    /// Steps of memory last told to `on.holds`.
    std::size_t told_steps = 0;
    bool reading = false;
    /// Whether lines may be delivered.
    bool started = false;
    bool connected = false;
    bool closed = false;
    bool closing = false;

    /// Written by any thread.
    std::atomic<bool> paused{false};
    std::atomic<bool> abandoned{false};
    /// Read by any thread.
    std::atomic<std::uint64_t> line_count{0};
    std::atomic<std::size_t> unfinished_bytes{0};
    std::atomic<std::uint64_t> sent_bytes{0};
    std::atomic<std::size_t> unsent_bytes{0};
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
    const auto ended = std::exchange(it.on.ended, {});
    if (ended)
        ended();
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

std::size_t unread_by_peer(const connection& it)
{
    return it.sending.size() - it.taken + it.unsent.size();
}

/// Whether nothing may be delivered or read now.
bool is_blocked(const connection& it)
{
    const auto limit = it.within.read_pause_bytes;
    return it.paused || it.abandoned ||
           (limit > 0 && unread_by_peer(it) > limit);
}

/// Publishes the progress and tells how much memory is held.
void note_progress(const connection_ptr& it)
{
    const auto unread = unread_by_peer(*it);
    it->unsent_bytes = unread;
    it->unfinished_bytes = it->filled;
    if (!it->on.holds)
        return;
    const auto bytes = it->input.capacity() + it->sending.capacity() +
                       it->unsent.capacity() - first_buffer_bytes;
    const auto steps = bytes / holding_step;
    if (std::exchange(it->told_steps, steps) != steps)
        it->on.holds(steps * holding_step);
}

/// Hands on the complete lines, as long as reading is not blocked. False if the
/// connection was closed. A line feed or a carriage return alone is part of its
/// line: a peer that ends lines only at CR LF must not see two messages where
/// this side saw one, or the reverse.
bool deliver_lines(const connection_ptr& it)
{
    std::size_t begin = 0;
    bool blocked = is_blocked(*it);
    while (!blocked)
    {
        const std::string_view all(it->input.data(), it->filled);
        const auto end = all.find(line_end, std::max(begin, it->searched));
        if (end == std::string_view::npos)
            break;
        const auto line = all.substr(begin, end - begin);
        begin = end + line_end.size();
        it->searched = begin;
        ++it->line_count;
        if (!it->closing)
            it->on.received(line);
        if (it->closed)
            return false;
        blocked = is_blocked(*it);
    }
    std::copy(it->input.data() + begin, it->input.data() + it->filled,
              it->input.data());
    it->filled -= begin;
    const bool half_end = it->filled > 0 && it->input[it->filled - 1] == '\r';
    it->searched = half_end ? it->filled - 1 : it->filled;
    if (blocked)
        it->searched = 0;
    return true;
}

/// Gives back the memory of a long line that was delivered.
void shrink_input(connection& it)
{
    if (it.filled > first_buffer_bytes / 2 ||
        it.input.size() == first_buffer_bytes)
        return;
    std::vector<char> smaller(first_buffer_bytes);
    std::copy(it.input.data(), it.input.data() + it.filled, smaller.data());
    it.input.swap(smaller);
}

/// Delivers what has arrived and reads on, unless reading is blocked.
void read_on(const connection_ptr& it)
{
    if (!deliver_lines(it))
        return;
    shrink_input(*it);
    note_progress(it);
    if (it->closed || is_blocked(*it))
        return;
    if (it->filled > it->within.line_bytes)
        return fail(it, "a line is longer than the limit");
    read_some(it);
}

void take_bytes(const connection_ptr& it, error_code ec, std::size_t n)
{
    it->reading = false;
    if (it->closed || it->abandoned)
        return;
    if (ec)
        return fail(it, ec.message());
    it->filled += n;
    read_on(it);
}

/// Makes room for the next bytes; false if the connection was closed for the
/// memory that it holds.
bool grow_input(const connection_ptr& it)
{
    if (it->input.size() >= it->filled + first_buffer_bytes / 2)
        return true;
    const auto room =
        std::clamp(it->filled / 2, first_buffer_bytes, most_growth_bytes);
    // `resize` alone would double the capacity.
    it->input.reserve(it->filled + room);
    it->input.resize(it->filled + room);
    note_progress(it);
    return !it->closed && !it->abandoned;
}

void read_some(const connection_ptr& it)
{
    if (!grow_input(it))
        return;
    it->reading = true;
    it->socket.async_read_some(
        asio::buffer(it->input.data() + it->filled,
                     it->input.size() - it->filled),
        asio::bind_executor(it->strand, [it](error_code ec, std::size_t n)
                            { take_bytes(it, ec, n); }));
}

void clear_output(std::string& it)
{
    it.clear();
    // An assignment would keep the capacity.
    if (it.capacity() > kept_output_bytes)
        std::string().swap(it);
}

void written(const connection_ptr& it, error_code ec, std::size_t n)
{
    if (it->closed)
        return;
    if (ec)
        return fail(it, ec.message());
    it->taken += n;
    it->sent_bytes += n;
    if (it->taken == it->sending.size())
    {
        clear_output(it->sending);
        it->taken = 0;
    }
    note_progress(it);
    if (it->closed)
        return;
    write_some(it);
    if (!it->closed && it->started && !it->reading && !is_blocked(*it))
        read_on(it);
}

void write_some(const connection_ptr& it)
{
    if (it->sending.empty())
        std::swap(it->sending, it->unsent);
    if (it->sending.empty())
    {
        if (it->closing)
            close_socket(*it);
        return;
    }
    it->socket.async_write_some(
        asio::buffer(it->sending.data() + it->taken,
                     it->sending.size() - it->taken),
        asio::bind_executor(it->strand, [it](error_code ec, std::size_t n)
                            { written(it, ec, n); }));
}

void append(const connection_ptr& it, const std::string& bytes)
{
    if (it->closed || it->closing)
        return;
    it->unsent += bytes;
    if (it->unsent.size() > it->within.unsent_bytes)
        return fail(it, "the peer does not read");
    note_progress(it);
    if (it->closed)
        return;
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
