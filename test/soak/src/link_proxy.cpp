#include "link_proxy.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <sstream>

#include "godwitbarrow/standins/http_server.hpp"

namespace soak
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace detail
{

/// One direction of a link.
struct pump
{
    tcp::socket* from = nullptr;
    tcp::socket* to = nullptr;
    bool to_server = false;
    std::array<char, std::size_t{16} * 1024> buf{};
};

struct link
{
    explicit link(tcp::socket s)
        : client(std::move(s)), server(client.get_executor())
    {
    }

    tcp::socket client;
    tcp::socket server;
    pump up;
    pump down;
    std::string host;
    bool named = false;
    bool silent = false;
    bool closed = false;
};
using link_ptr = std::shared_ptr<link>;

}  // namespace detail

struct link_proxy : std::enable_shared_from_this<link_proxy>
{
    link_proxy(asio::io_context& io, const core::endpoint& target)
        : acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
          to(asio::ip::make_address(target.address), target.port)
    {
    }

    tcp::acceptor acceptor;
    tcp::endpoint to;
    std::list<detail::link_ptr> links;
    link_filter on;
    link_faults faults;
};

namespace detail
{
namespace
{

/// How often a link that is cut looks whether the cut has ended.
constexpr std::chrono::milliseconds cut_check{20};
/// The server drops a connection that went silent.
constexpr std::chrono::milliseconds server_patience{3000};

void close_link(link& l)
{
    l.closed = true;
    error_code ec;
    l.client.close(ec);
    l.server.close(ec);
}

link_faults faults_of(const link_proxy& it, const link& l)
{
    return it.on && it.on(l.host) ? it.faults : link_faults{};
}

/// Runs the action once the faults let something pass in this direction.
void pass(const link_proxy_ptr& it, const link_ptr& l, bool to_server,
          const std::function<void()>& action)
{
    if (l->closed || l->silent)
        return;
    const auto faults = faults_of(*it, *l);
    const bool cut = to_server ? faults.cut_to_server : faults.cut_to_client;
    if (cut)
        return godwitbarrow::standins::call_after(
            it->acceptor.get_executor(), cut_check,
            [it, l, to_server, action] { pass(it, l, to_server, action); });
    godwitbarrow::standins::call_after(it->acceptor.get_executor(),
                                       faults.delay,
                                       [l, action]
                                       {
                                           if (!l->closed && !l->silent)
                                               action();
                                       });
}

void read_name(link& l, const pump& p, std::size_t n)
{
    if (l.named || !p.to_server)
        return;
    l.named = true;
    std::istringstream in(std::string(p.buf.data(), n));
    std::string word;
    std::string group;
    in >> word >> group >> l.host;
    if (word != "STARTUP")
        l.host.clear();
}

void read_some(const link_proxy_ptr& it, const link_ptr& l, pump& p);

void write_all(const link_proxy_ptr& it, const link_ptr& l, pump& p,
               std::size_t n)
{
    asio::async_write(*p.to, asio::buffer(p.buf.data(), n),
                      [it, l, &p](error_code ec, std::size_t)
                      {
                          if (ec)
                              close_link(*l);
                          else
                              read_some(it, l, p);
                      });
}

void read_some(const link_proxy_ptr& it, const link_ptr& l, pump& p)
{
    p.from->async_read_some(
        asio::buffer(p.buf),
        [it, l, &p](error_code ec, std::size_t n)
        {
            if (l->closed)
                return;
            if (ec)
                return pass(it, l, p.to_server, [l] { close_link(*l); });
            read_name(*l, p, n);
            pass(it, l, p.to_server,
                 [it, l, &p, n] { write_all(it, l, p, n); });
        });
}

void connect_link(const link_proxy_ptr& it, const link_ptr& l)
{
    l->up.from = l->down.to = &l->client;
    l->down.from = l->up.to = &l->server;
    l->up.to_server = true;
    l->server.async_connect(it->to,
                            [it, l](error_code ec)
                            {
                                if (ec)
                                    return close_link(*l);
                                l->client.set_option(tcp::no_delay(true), ec);
                                l->server.set_option(tcp::no_delay(true), ec);
                                read_some(it, l, l->up);
                                read_some(it, l, l->down);
                            });
}

void accept_next(const link_proxy_ptr& it)
{
    it->acceptor.async_accept(
        [it](error_code ec, tcp::socket socket)
        {
            if (ec)
                return;
            it->links.remove_if([](const auto& l) { return l->closed; });
            auto l = std::make_shared<link>(std::move(socket));
            it->links.push_back(l);
            connect_link(it, l);
            accept_next(it);
        });
}

}  // namespace
}  // namespace detail

link_proxy_ptr open_proxy(asio::io_context& io, const core::endpoint& to)
{
    auto it = std::make_shared<link_proxy>(io, to);
    detail::accept_next(it);
    return it;
}

std::uint16_t port_of(const link_proxy& it)
{
    return it.acceptor.local_endpoint().port();
}

void set_faults(link_proxy& it, link_filter on, const link_faults& faults)
{
    it.on = std::move(on);
    it.faults = faults;
}

void end_faults(link_proxy& it)
{
    it.on = nullptr;
}

void reset_links(link_proxy& it, const link_filter& on)
{
    for (const auto& l : it.links)
    {
        if (l->closed || !on(l->host))
            continue;
        error_code ec;
        l->client.set_option(asio::socket_base::linger(true, 0), ec);
        l->server.set_option(asio::socket_base::linger(true, 0), ec);
        detail::close_link(*l);
    }
}

void silence_links(link_proxy& it, const link_filter& on)
{
    for (const auto& l : it.links)
    {
        if (l->silent || !on(l->host))
            continue;
        l->silent = true;
        godwitbarrow::standins::call_after(it.acceptor.get_executor(),
                                           detail::server_patience,
                                           [l]
                                           {
                                               error_code ec;
                                               l->server.close(ec);
                                           });
    }
}

void close_proxy(link_proxy& it)
{
    error_code ec;
    it.acceptor.close(ec);
    for (const auto& l : it.links)
        detail::close_link(*l);
    it.links.clear();
}

}  // namespace soak
