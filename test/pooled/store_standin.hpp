#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
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

/// One call for a promotion.
struct promotion_call
{
    std::string group;
    std::string server;
    std::string holder;
    std::uint64_t token = 0;
};

struct store_faults
{
    /// Answers every call with 503.
    bool down = false;
    std::chrono::milliseconds delay{0};
    /// Of the writes and promotions; they are done and not answered.
    unsigned lost_percent = 0;
    /// Calls whose answer is lost are done this much later.
    std::chrono::milliseconds late{0};
};

struct store_standin
{
    explicit store_standin(boost::asio::io_context& io);

    std::uint16_t port() const
    {
        return standins::port_of(server);
    }

    std::uint16_t side_port() const
    {
        return standins::port_of(side_server);
    }

    /// Writes a row as the operator or a member does.
    void put(const std::string& table, const std::string& key,
             const std::string& value);
    void remove(const std::string& table, const std::string& key);

    /// Comes back from a copy that was made at this version.
    void roll_back_to(std::uint64_t to);

    store_faults faults;
    /// The next call fails with 410, as after a loss of the history.
    bool history_lost = false;
    /// Rows in one answer to a call that lists them.
    std::size_t page_limit = 500;
    /// Called after each such answer, if set.
    std::function<void()> page_listed;
    /// Replaces the value of a row that a host writes, if set. The arguments
    /// are the table, the key and the value.
    std::function<std::string(const std::string&, const std::string&,
                              const std::string&)>
        rewrite;
    /// Orders a promotion; false if the member does not run.
    std::function<bool(const promotion_call&)> promoted;
    /// The highest fencing token seen for each group.
    std::map<std::string, std::uint64_t> tokens;
    unsigned lost_counter = 0;

    struct waiting_call
    {
        standins::http_session_ptr session;
        std::string table;
        std::uint64_t after = 0;
        std::uint64_t number = 0;
    };
    std::uint64_t last_call = 0;

    boost::asio::any_io_executor executor;
    std::uint64_t version = 0;
    /// Rises each time the store is restored from a copy.
    std::uint64_t era = 1;
    std::map<std::string, std::map<std::string, store_row>> tables;
    struct change
    {
        std::string table;
        std::string key;
        store_row row;
    };
    /// All changes, in order.
    std::vector<change> history;
    std::vector<waiting_call> waiting;
    standins::http_server_ptr server;
    /// Another address, for a host that the store can turn away alone.
    standins::http_server_ptr side_server;
    bool side_refuses = false;
    /// Calls at either address.
    std::size_t calls = 0;
};

}  // namespace godwitbarrow::test
