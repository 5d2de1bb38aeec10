#include "godwitbarrow/peer/messages.hpp"
#include "capacity.hpp"

namespace godwitbarrow::capacity
{
namespace
{

std::size_t frame_bytes(const peer::message& it)
{
    constexpr std::size_t length_prefix = 4;
    return peer::encode(it).size() + length_prefix;
}

/// `execute` and `answer` of a request with a statement of `n` bytes.
std::size_t forwarded_bytes(core::access_mode access, std::size_t n)
{
    peer::execute it;
    it.server = member_name(0, 0);
    it.request.id = {"3f2b8c1e9d7a4f60"};
    it.request.group = group_name(0);
    it.request.kind = "quote";
    it.request.access = access;
    it.request.statement = std::string(n, 's');
    it.request.token = core::log_position{1, 1000};
    it.request.deadline = core::runtime_clock::now() + std::chrono::seconds(2);
    core::completed done{{}, it.server, {1, 1001}, {}};
    if (core::is_write(access))
        it.request.key = core::idempotency_key{"order-0000000001"};
    else
        done.rows = {std::string(n, 'r')};
    return frame_bytes(it) +
           frame_bytes(peer::answer{it.request.id, core::outcome{done}});
}

std::size_t summary_bytes(std::size_t unreachable)
{
    membership::summary it;
    it.own = {{"host-00000"}, 3, false, false, {}};
    it.own.unreachable.assign(unreachable, member_name(0, 0));
    return frame_bytes(it);
}

}  // namespace

std::vector<series> measure_messages()
{
    using std::placeholders::_1;
    return {sweep("messages of a forwarded read, statement and row of a size",
                  "byte", {32, 128, 512},
                  std::bind(forwarded_bytes, core::access_mode::read, _1)),
            sweep("messages of a forwarded write, statement of a size", "byte",
                  {32, 128, 512},
                  std::bind(forwarded_bytes, core::access_mode::write, _1)),
            sweep("summary", "unreachable server", {0, 3, 30}, summary_bytes)};
}

}  // namespace godwitbarrow::capacity
