#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "godwitbarrow/standins/http_server.hpp"

/// The platform's store and its call for promotions, in memory and on one
/// thread.
namespace godwitbarrow::test
{

struct store_row
{
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
};

struct store_standin
{
    explicit store_standin(boost::asio::io_context& io);

    std::uint16_t port() const
    {
        return standins::port_of(server);
    }

    /// Writes a row as the operator or a member does.
    void put(const std::string& table, const std::string& key,
             const std::string& value);
    void remove(const std::string& table, const std::string& key);

    /// Answers every call with 503.
    bool down = false;
    /// The next call fails with 410, as after a loss of the history.
    bool history_lost = false;
    std::function<void(const std::string& group, const std::string& id)>
        promoted;

    struct waiting_call
    {
        standins::http_session_ptr session;
        std::string table;
        std::uint64_t after = 0;
    };

    std::uint64_t version = 0;
    std::map<std::string, std::map<std::string, store_row>> tables;
    std::vector<waiting_call> waiting;
    standins::http_server_ptr server;
};

}  // namespace godwitbarrow::test
