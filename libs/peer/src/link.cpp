#include "godwitbarrow/peer/link.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "link_state.hpp"

namespace godwitbarrow::peer
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace detail
{
namespace
{

/// Runs on the strand. Later calls have no effect.
void shut(const link_ptr& it, const core::error& why)
{
    it->open = false;
    if (std::exchange(it->close_reported, true))
        return;
    error_code ec;
    it->socket.close(ec);
    it->timer.cancel();
    it->waiting.clear();
    it->on_message = nullptr;
    if (const auto call = std::exchange(it->on_closed, nullptr))
        call(it, why);
}

void post_shut(const link_ptr& it, core::error why)
{
    it->open = false;
    asio::post(it->socket.get_executor(),
               [it, why = std::move(why)] { shut(it, why); });
}

core::error lost(const link_ptr& it, const error_code& ec)
{
    return {core::error_kind::connection_lost,
            "the link to " + to_string(it->remote) + " broke: " + ec.message() +
                "; connect again"};
}

void write(const link_ptr& it);

void note_oldest(const link_ptr& it)
{
    const auto& oldest = it->writing.empty() ? it->waiting : it->writing;
    it->queued_since =
        oldest.empty() ? core::time_point::max() : oldest.front().sent_at;
}

void after_write(const link_ptr& it, const error_code& ec, std::size_t n)
{
    it->writing.clear();
    it->queued_bytes -= n;
    note_oldest(it);
    if (ec)
        return shut(it, lost(it, ec));
    write(it);
}

void write(const link_ptr& it)
{
    if (it->close_reported || !it->writing.empty() || it->waiting.empty())
        return;
    it->writing.swap(it->waiting);
    std::vector<asio::const_buffer> bufs;
    bufs.reserve(it->writing.size());
    for (const auto& frame : it->writing)
        bufs.emplace_back(frame.bytes.data(), frame.bytes.size());
    asio::async_write(it->socket, bufs,
                      [it](const error_code& ec, std::size_t n)
                      { after_write(it, ec, n); });
}

void enqueue(const link_ptr& it, queued_frame what)
{
    if (it->close_reported)
        return;
    it->waiting.push_back(std::move(what));
    write(it);
    note_oldest(it);
}

/// Starts the time limit of the frame whose first bytes have arrived.
void limit_frame(const link_ptr& it)
{
    it->timer.expires_after(it->limits.frame_timeout);
    it->timer.async_wait(
        [it](const error_code& ec)
        {
            if (ec || !partial_frame(it->input) ||
                it->timer.expiry() > core::runtime_clock::now())
                return;
            shut(it, {core::error_kind::protocol_error,
                      "a message from " + to_string(it->remote) +
                          " did not arrive whole in time; check the network "
                          "between the hosts"});
        });
}

/// Hands on every whole frame in the buffer. False if the link was shut.
bool deliver(const link_ptr& it)
{
    while (it->open)
    {
        const auto got = next_frame(it->input);
        if (const auto* e = std::get_if<core::error>(&got))
        {
            shut(it, *e);
            return false;
        }
        const auto& bytes = std::get<frame_view>(got);
        if (!bytes.data)
            return true;
        auto what = decode(bytes.data, bytes.size);
        if (const auto* e = std::get_if<core::error>(&what))
        {
            shut(it, *e);
            return false;
        }
        it->on_message(it, std::get<message>(std::move(what)));
    }
    return false;
}

void read(const link_ptr& it);

void after_read(const link_ptr& it, const error_code& ec, std::size_t n)
{
    if (ec)
        return shut(it, lost(it, ec));
    const bool frame_was_open = partial_frame(it->input);
    const auto before = it->input.frames;
    it->input.filled += n;
    if (!deliver(it))
        return;
    if (!partial_frame(it->input))
        it->timer.cancel();
    else if (!frame_was_open || it->input.frames != before)
        limit_frame(it);
    read(it);
}

void read(const link_ptr& it)
{
    const auto space = prepare(it->input);
    it->socket.async_read_some(asio::buffer(space.data, space.size),
                               [it](const error_code& ec, std::size_t n)
                               { after_read(it, ec, n); });
}

template <int Level, int Name>
void set_option(strand_socket& socket, int value)
{
    error_code ec;
    socket.set_option(asio::detail::socket_option::integer<Level, Name>(value),
                      ec);
}

/// Has the system probe an idle connection each second.
void limit_silence(strand_socket& socket, std::chrono::milliseconds limit)
{
    error_code ec;
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    const auto ms = static_cast<int>(limit.count());
    set_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(socket, ms);
    set_option<IPPROTO_TCP, TCP_KEEPIDLE>(socket, 1);
    set_option<IPPROTO_TCP, TCP_KEEPINTVL>(socket, 1);
    set_option<IPPROTO_TCP, TCP_KEEPCNT>(socket, std::max(1, ms / 1000 - 1));
}

}  // namespace

void set_options(const link_ptr& it)
{
    error_code ec;
    it->socket.set_option(asio::ip::tcp::no_delay(true), ec);
    if (it->limits.silence_limit > std::chrono::milliseconds(0))
        limit_silence(it->socket, it->limits.silence_limit);
}

void start_reading(const link_ptr& it)
{
    read(it);
}

}  // namespace detail

void send(const link_ptr& it, const message& what)
{
    if (!it->open)
        return;
    auto made = detail::make_frame(encode(what));
    if (made.empty())
        return detail::post_shut(
            it, {core::error_kind::protocol_error,
                 "a message exceeds 1 MiB; send it in chunks"});
    const auto size = made.size();
    if (it->queued_bytes.fetch_add(size) + size > it->limits.write_queue_bytes)
        return detail::post_shut(
            it, {core::error_kind::overloaded,
                 "the write queue to " + to_string(it->remote) +
                     " is full; the host reads too slowly, connect again"});
    asio::post(it->socket.get_executor(),
               [it, made = std::move(made),
                now = core::runtime_clock::now()]() mutable {
                   detail::enqueue(it, {std::move(made), now});
               });
}

send_backlog backlog_of(const link_ptr& it, core::time_point now)
{
    send_backlog out;
    out.bytes = it->queued_bytes;
    const auto since = it->queued_since.load();
    if (since < now)
        out.age = now - since;
    return out;
}

void close(const link_ptr& it)
{
    detail::post_shut(it, {core::error_kind::connection_lost,
                           "the link was closed by this host"});
}

core::endpoint remote_endpoint(const link_ptr& it)
{
    return it->remote;
}

}  // namespace godwitbarrow::peer
