#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include "godwitbarrow/peer/link.hpp"
#include "link_state.hpp"

namespace godwitbarrow::peer
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

struct listener
{
    explicit listener(const asio::any_io_executor& executor)
        : parent(executor),
          acceptor(asio::make_strand(parent)),
          retry(acceptor.get_executor())
    {
    }

    asio::any_io_executor parent;
    detail::strand_acceptor acceptor;
    detail::strand_timer retry;
    core::endpoint local;
    message_handler on_message;
    closed_handler on_closed;
    link_limits limits;
};

namespace detail
{
namespace
{

/// Pause after a failed accept. It fails when file descriptors run out, and
/// trying again at once would keep a worker busy until one is free.
constexpr std::chrono::milliseconds accept_retry{100};

core::endpoint convert(const tcp::endpoint& it)
{
    return {it.address().to_string(), it.port()};
}

void accept(const listener_ptr& it);

void accepted(const listener_ptr& it, strand_socket socket)
{
    error_code ec;
    const auto remote = socket.remote_endpoint(ec);
    if (ec)
        return;
    const auto made = std::make_shared<link>(std::move(socket), it->limits);
    made->on_message = it->on_message;
    made->on_closed = it->on_closed;
    made->remote = convert(remote);
    set_options(made);
    asio::dispatch(made->socket.get_executor(),
                   [made] { start_reading(made); });
}

void accept_later(const listener_ptr& it)
{
    it->retry.expires_after(accept_retry);
    it->retry.async_wait(
        [it](const error_code& ec)
        {
            if (!ec)
                accept(it);
        });
}

void accept(const listener_ptr& it)
{
    if (!it->acceptor.is_open())
        return;
    it->acceptor.async_accept(asio::make_strand(it->parent),
                              [it](const error_code& ec, strand_socket socket)
                              {
                                  if (ec == asio::error::operation_aborted)
                                      return;
                                  if (ec)
                                      return accept_later(it);
                                  accepted(it, std::move(socket));
                                  accept(it);
                              });
}

error_code bind(strand_acceptor& acceptor, const core::endpoint& at)
{
    error_code ec;
    const auto address = asio::ip::make_address(at.address, ec);
    if (ec)
        return ec;
    const tcp::endpoint where(address, at.port);
    acceptor.open(where.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(where, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    return ec;
}

core::error unreachable(const core::endpoint& to, const error_code& ec)
{
    return {core::error_kind::owner_unreachable,
            "no link to " + to_string(to) + ": " + ec.message() +
                "; check that the host runs and its peer port is open"};
}

/// Ends one connection attempt on the strand of the link.
void connected(const link_ptr& it, const error_code& ec,
               const connected_handler& call)
{
    it->connecting = false;
    it->timer.cancel();
    if (ec || !it->socket.is_open())
    {
        it->open = false;
        it->close_reported = true;
        const bool late = !ec || ec == asio::error::operation_aborted;
        return call(unreachable(
            it->remote, late ? error_code(asio::error::timed_out) : ec));
    }
    set_options(it);
    call(it);
    start_reading(it);
}

void start_connect(const link_ptr& it, const tcp::endpoint& remote,
                   connected_handler call)
{
    it->connecting = true;
    it->timer.expires_after(it->limits.connect_timeout);
    it->timer.async_wait(
        [it](const error_code& ec)
        {
            error_code ignored;
            if (!ec && it->connecting)
                it->socket.close(ignored);
        });
    it->socket.async_connect(remote,
                             [it, call = std::move(call)](const error_code& ec)
                             { connected(it, ec, call); });
}

}  // namespace
}  // namespace detail

core::result<listener_ptr> listen(const asio::any_io_executor& executor,
                                  const core::endpoint& at,
                                  message_handler on_message,
                                  closed_handler on_closed,
                                  const link_limits& limits)
{
    const auto it = std::make_shared<listener>(executor);
    it->on_message = std::move(on_message);
    it->on_closed = std::move(on_closed);
    it->limits = limits;
    if (const auto ec = detail::bind(it->acceptor, at))
        return core::error{core::error_kind::invalid_settings,
                           "cannot listen for peers on " + to_string(at) +
                               ": " + ec.message() +
                               "; choose a free address and port"};
    it->local = detail::convert(it->acceptor.local_endpoint());
    asio::dispatch(it->acceptor.get_executor(), [it] { detail::accept(it); });
    return it;
}

void connect(const asio::any_io_executor& executor, const core::endpoint& to,
             connected_handler on_connected, message_handler on_message,
             closed_handler on_closed, const link_limits& limits)
{
    const auto it = std::make_shared<link>(
        detail::strand_socket(asio::make_strand(executor)), limits);
    it->on_message = std::move(on_message);
    it->on_closed = std::move(on_closed);
    it->remote = to;
    error_code ec;
    const tcp::endpoint remote(asio::ip::make_address(to.address, ec), to.port);
    asio::post(it->socket.get_executor(),
               [it, ec, remote, call = std::move(on_connected)]() mutable
               {
                   if (ec)
                       return call(detail::unreachable(it->remote, ec));
                   detail::start_connect(it, remote, std::move(call));
               });
}

void close(const listener_ptr& it)
{
    asio::post(it->acceptor.get_executor(),
               [it]
               {
                   error_code ec;
                   it->acceptor.close(ec);
                   it->retry.cancel();
               });
}

core::endpoint local_endpoint(const listener_ptr& it)
{
    return it->local;
}

}  // namespace godwitbarrow::peer
