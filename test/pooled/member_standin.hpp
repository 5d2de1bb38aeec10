#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "godwitbarrow/core/position.hpp"
#include "godwitbarrow/stream/connection.hpp"

/// A small database group that speaks the line protocol of members. All of it
/// runs on one thread.
namespace godwitbarrow::test
{

/// What the members of the group share: replicas apply at once.
struct group_data
{
    std::map<std::string, std::string> items;
    core::log_position at{1, 0};
    std::string primary;
    unsigned writes = 0;
};

struct member_standin
{
    member_standin(boost::asio::io_context& io, std::string group,
                   std::string id, std::shared_ptr<group_data> data);

    std::uint16_t port() const
    {
        return acceptor.local_endpoint().port();
    }

    /// Accepts nothing and answers nothing any more.
    bool dark = false;
    /// Runs the next write and breaks the connection without an answer.
    bool lose_next_write = false;

    /// Connections whose startup it accepted.
    std::size_t started = 0;
    /// Keeps the sessions; their connections refer to them weakly.
    std::vector<std::shared_ptr<void>> sessions;
    boost::asio::ip::tcp::acceptor acceptor;
    std::string group;
    std::string id;
    std::shared_ptr<group_data> data;
};

}  // namespace godwitbarrow::test
