#include "crowd.hpp"

#include <boost/asio/buffer.hpp>
#include <chrono>
#include <thread>

namespace godwitbarrow::test
{

namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace detail
{
namespace
{

constexpr auto pause = 10ms;
/// Without progress for this many pauses, the host takes nothing more.
constexpr int most_pauses = 50;
constexpr std::size_t receive_bytes = 65536;

}  // namespace
}  // namespace detail

crowd::crowd(asio::io_context& io, const std::string& address,
             std::uint16_t port, std::size_t size)
{
    const asio::ip::tcp::endpoint to(asio::ip::make_address(address), port);
    for (std::size_t n = 0; n < size; ++n)
    {
        asio::ip::tcp::socket s(io);
        error_code ec;
        s.connect(to, ec);
        if (ec)
            continue;
        s.non_blocking(true);
        members.push_back({std::move(s), {}, false});
    }
}

void append(crowd& to, const std::string& bytes)
{
    for (auto& it : to.members)
        it.unsent += bytes;
}

std::size_t send_some(crowd_member& it, std::size_t limit)
{
    const auto size = std::min(limit, it.unsent.size());
    if (it.closed || size == 0)
        return 0;
    error_code ec;
    const auto n = it.socket.write_some(asio::buffer(it.unsent, size), ec);
    it.closed = ec && ec != asio::error::would_block;
    it.unsent.erase(0, n);
    return n;
}

std::string receive_some(crowd_member& it)
{
    std::string out(detail::receive_bytes, '\0');
    error_code ec;
    out.resize(it.socket.read_some(asio::buffer(out), ec));
    it.closed = it.closed || (ec && ec != asio::error::would_block);
    return out;
}

void send_in_pieces(crowd& it, std::size_t piece)
{
    int silent = 0;
    while (silent < detail::most_pauses)
    {
        std::size_t sent = 0;
        std::size_t left = 0;
        for (auto& n : it.members)
        {
            sent += send_some(n, piece);
            left += n.closed ? 0 : n.unsent.size();
        }
        if (left == 0)
            return;
        silent = sent > 0 ? 0 : silent + 1;
        if (sent == 0)
            std::this_thread::sleep_for(detail::pause);
    }
}

std::size_t count_open(crowd& it)
{
    std::size_t out = 0;
    for (auto& n : it.members)
    {
        receive_some(n);
        out += n.closed ? 0 : 1;
    }
    return out;
}

}  // namespace godwitbarrow::test
