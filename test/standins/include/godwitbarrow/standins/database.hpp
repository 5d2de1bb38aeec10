#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/position.hpp"

/// A backend server that is one member of a database group. It must run on
/// one thread.
namespace godwitbarrow::standins
{

struct database_options
{
    std::string name;
    /// Loopback address to listen on.
    std::string address = "127.0.0.1";
    /// 0 picks a free port.
    std::uint16_t port = 0;
    /// The other members of the group by name.
    std::map<std::string, core::endpoint> peers;
    std::size_t slots = 2;
    std::size_t connections = 15;
    /// Before the first request of a connection is served.
    std::chrono::milliseconds connect_cost{0};
    /// Age that an entry of the primary has before this member gets it.
    std::chrono::milliseconds lag{0};
    /// How long a statement takes its slot.
    std::chrono::milliseconds service_time{0};
    core::term_number term = 1;
    core::member_role role = core::member_role::replica;
};

struct database;
using database_ptr = std::shared_ptr<database>;

/// Throws boost::system::system_error if the port cannot be used.
database_ptr start_database(const boost::asio::any_io_executor& executor,
                            const database_options& options);

std::uint16_t port_of(const database_ptr& it);

/// Members may be started before all ports are known.
void set_peers(const database_ptr& it,
               std::map<std::string, core::endpoint> peers);

/// Closes all connections and stops replication.
void stop(const database_ptr& it);

}  // namespace godwitbarrow::standins
