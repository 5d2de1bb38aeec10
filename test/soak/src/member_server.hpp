#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "godwitbarrow/model/group.hpp"

/// Serves one member of a model group over the protocol of members.
namespace soak
{

namespace core = godwitbarrow::core;
namespace model = godwitbarrow::model;

struct member_limits
{
    std::size_t slots = 2;
    std::size_t connections = 40;
    /// Time that a statement takes its slot.
    std::chrono::milliseconds work{3};
};

struct member_server;
using member_server_ptr = std::shared_ptr<member_server>;

member_server_ptr serve_member(boost::asio::io_context& io, model::group& group,
                               const core::server_id& server,
                               const member_limits& limits,
                               std::function<void(const model::run&)> ran);

std::uint16_t port_of(const member_server& it);

/// Ends the member as a crash does. It accepts no connection until it starts.
void crash(member_server& it);
void start_again(member_server& it);

void close_server(member_server& it);

}  // namespace soak
