#include <algorithm>
#include <boost/asio/bind_executor.hpp>

#include "state.hpp"

namespace godwitbarrow::stream::detail
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

/// Room for the next bytes of a long line.
constexpr std::size_t most_growth_bytes = std::size_t{256} * 1024;
/// An empty output buffer larger than this is given back.
constexpr std::size_t kept_output_bytes = std::size_t{16} * 1024;
constexpr std::size_t holding_step = 4096;
constexpr std::string_view line_end = "\r\n";

std::size_t unread_by_peer(const connection& it)
{
    return it.sending.size() - it.taken + it.unsent.size();
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

}  // namespace

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

bool is_blocked(const connection& it)
{
    const auto limit = it.within.read_pause_bytes;
    return it.paused || it.abandoned ||
           (limit > 0 && unread_by_peer(it) > limit);
}

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

}  // namespace godwitbarrow::stream::detail
