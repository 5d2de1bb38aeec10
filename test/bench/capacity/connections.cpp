#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <thread>

#include "capacity.hpp"
#include "godwitbarrow/gateway/server.hpp"
#include "godwitbarrow/peer/link.hpp"

namespace godwitbarrow::capacity
{
namespace
{

namespace asio = boost::asio;

const core::endpoint any_port{"127.0.0.1", 0};

/// Growth of the heap by `n` connections that each sent `bytes` and got an
/// answer. Their other ends are descriptors, which take no heap.
std::size_t open_bytes(asio::io_context& io, const core::endpoint& to,
                       std::size_t n, const std::string& bytes)
{
    std::thread worker([&] { io.run(); });
    const asio::ip::tcp::endpoint at(asio::ip::make_address(to.address),
                                     to.port);
    std::vector<int> sockets(n);
    const auto before = heap_bytes();
    for (auto& it : sockets)
    {
        char answer[4096];
        it = socket(AF_INET, SOCK_STREAM, 0);
        require(connect(it, at.data(), static_cast<socklen_t>(at.size())) == 0,
                "connect; this takes 9000 descriptors");
        require(send(it, bytes.data(), bytes.size(), 0) > 0 &&
                    recv(it, answer, sizeof answer, 0) > 0,
                "each connection gets an answer");
    }
    const auto grown = heap_bytes() - before;
    io.stop();
    worker.join();
    for (const auto it : sockets)
        close(it);
    return grown;
}

std::size_t caller_bytes(std::size_t n)
{
    asio::io_context io;
    const auto answer =
        [](const gateway::parsed_request&, const gateway::responder& respond)
    {
        respond(core::completed{{"row"}, member_name(0, 0), {1, 2}, {}}, "t");
    };
    const auto server = std::get<gateway::gateway_ptr>(
        gateway::start_gateway(io.get_executor(), any_port, {}, {answer, {}}));
    const std::string body = R"({"group":"group-00000","kind":"quote",)"
                             R"("access":"read","statement":"get chair-17"})";
    return open_bytes(
        io, gateway::local_endpoint(server), n,
        "POST /v1/execute HTTP/1.1\r\nHost: proxy\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::size_t link_bytes(std::size_t n)
{
    asio::io_context io;
    const auto server = std::get<peer::listener_ptr>(peer::listen(
        io.get_executor(), any_port,
        [](const auto& it, const auto& what) { peer::send(it, what); },
        [](const auto&, const auto&) {}));
    const auto hello = peer::encode(peer::hello{{"host-00000"}, 1});
    std::string frame{0, 0, 0, static_cast<char>(hello.size())};
    frame.append(hello.begin(), hello.end());
    return open_bytes(io, peer::local_endpoint(server), n, frame);
}

}  // namespace

std::vector<series> measure_connections()
{
    return {sweep("heap of an idle caller connection", "connection",
                  {200, 1000, 4000}, caller_bytes),
            sweep("heap of one end of an idle peer link", "link",
                  {50, 200, 800}, link_bytes)};
}

}  // namespace godwitbarrow::capacity
