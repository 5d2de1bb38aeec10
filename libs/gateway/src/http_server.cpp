#include "http_server.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include "http_session.hpp"

namespace godwitbarrow::gateway::detail
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

/// Pause after a failed accept. It fails when file descriptors run out, and
/// trying again at once would keep a worker busy until one is free.
constexpr std::chrono::milliseconds accept_retry{100};
/// Connections above the limit that get an error; more are closed at once.
constexpr std::size_t most_refusals = 64;

void accept(const http_server_ptr& it);

/// Closes the connection whose last use is the longest ago.
void replace_oldest(const http_server_ptr& it)
{
    session_ptr oldest;
    for (const auto& [key, weak] : it->sessions)
    {
        auto one = weak.lock();
        if (one && !one->replaced &&
            (!oldest || one->last_use < oldest->last_use))
            oldest = std::move(one);
    }
    if (!oldest)
        return;
    oldest->replaced = true;
    asio::post(oldest->socket.get_executor(),
               [oldest] { close_for_another(oldest); });
}

void admit(const http_server_ptr& it, strand_socket socket)
{
    if (it->stopped)
        return;
    const auto most = it->limits.open_connections;
    const bool replaces = it->limits.replaces_oldest && it->open >= most;
    if (replaces)
        replace_oldest(it);
    // A replaced connection is open until its strand has closed it.
    const bool full = it->open >= (replaces ? 2 * most : most);
    if (full && (replaces || it->refusals >= most_refusals))
        return;
    const auto made = std::make_shared<session>(std::move(socket), it);
    made->refused = full;
    ++(full ? it->refusals : it->open);
    it->sessions.emplace(made.get(), made);
    asio::dispatch(made->socket.get_executor(),
                   [made, full] { full ? refuse(made) : serve(made); });
}

void accept_later(const http_server_ptr& it)
{
    it->retry.expires_after(accept_retry);
    it->retry.async_wait(
        [it](const error_code& ec)
        {
            if (!ec)
                accept(it);
        });
}

void admit_now(const http_server_ptr& it, strand_socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    admit(it, std::move(socket));
}

void accept(const http_server_ptr& it)
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
                                  admit_now(it, std::move(socket));
                                  accept(it);
                              });
}

/// Accepts the connections that are established and queued. Closing the
/// acceptor would reset them, also those that have sent a request.
void accept_queued(const http_server_ptr& it)
{
    error_code ec;
    it->acceptor.non_blocking(true, ec);
    while (!ec)
    {
        auto socket = it->acceptor.accept(asio::make_strand(it->parent), ec);
        if (!ec)
            admit_now(it, std::move(socket));
    }
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

/// Runs `act` for every session, on the strand of the session.
void for_each_session(const http_server_ptr& it,
                      void (*act)(const session_ptr&))
{
    for (const auto& [key, weak] : it->sessions)
        if (const auto one = weak.lock())
            asio::post(one->socket.get_executor(), [one, act] { act(one); });
}

void close_acceptor(const http_server_ptr& it)
{
    error_code ec;
    it->acceptor.close(ec);
    it->retry.cancel();
}

}  // namespace

http_server::http_server(const asio::any_io_executor& executor,
                         const gateway_limits& l, http_handlers h)
    : parent(executor),
      acceptor(asio::make_strand(parent)),
      retry(acceptor.get_executor()),
      limits(l),
      handlers(std::move(h))
{
}

core::result<http_server_ptr> start_http(const asio::any_io_executor& executor,
                                         const core::endpoint& at,
                                         const gateway_limits& limits,
                                         http_handlers handlers)
{
    const auto it =
        std::make_shared<http_server>(executor, limits, std::move(handlers));
    if (const auto ec = bind(it->acceptor, at))
        return core::error{core::error_kind::invalid_settings,
                           "cannot listen for HTTP on " + to_string(at) + ": " +
                               ec.message() +
                               "; choose a free address and port"};
    const auto local = it->acceptor.local_endpoint();
    it->local = {local.address().to_string(), local.port()};
    asio::dispatch(it->acceptor.get_executor(), [it] { accept(it); });
    return it;
}

void stop_accepting(const http_server_ptr& it)
{
    asio::post(it->acceptor.get_executor(),
               [it]
               {
                   accept_queued(it);
                   close_acceptor(it);
               });
}

void drain(const http_server_ptr& it)
{
    it->draining = true;
    asio::post(it->acceptor.get_executor(),
               [it] { for_each_session(it, close_if_idle); });
}

void stop(const http_server_ptr& it)
{
    it->draining = true;
    asio::post(it->acceptor.get_executor(),
               [it]
               {
                   it->stopped = true;
                   close_acceptor(it);
                   for_each_session(it, close_session);
               });
}

void forget(const session_ptr& it)
{
    const auto& server = it->server;
    --(it->refused ? server->refusals : server->open);
    asio::post(server->acceptor.get_executor(),
               [it] { it->server->sessions.erase(it.get()); });
}

std::string_view path_of(const http_request& it)
{
    const std::string_view target(it.target().data(), it.target().size());
    return target.substr(0, target.find('?'));
}

http_reply error_reply(const core::request_id& id, const core::error& why,
                       unsigned status)
{
    http_reply out;
    out.status = status;
    out.request_id = id.value;
    out.body = format_error(id, why);
    return out;
}

}  // namespace godwitbarrow::gateway::detail
