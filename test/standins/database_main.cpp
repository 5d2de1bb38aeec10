#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "godwitbarrow/standins/database.hpp"

DEFINE_string(name, "", "name of this member");
DEFINE_string(address, "127.0.0.1", "loopback address to listen on");
DEFINE_uint32(port, 0, "port; 0 picks a free one");
DEFINE_string(peers, "", "other members: NAME=IP:PORT,...");
DEFINE_uint32(slots, 2, "statements that run at a time");
DEFINE_uint32(connections, 15, "connections of clients at a time");
DEFINE_uint32(connect_cost_ms, 0, "delay before a new connection is served");
DEFINE_uint32(lag_ms, 0, "replication delay of this member");
DEFINE_uint32(service_ms, 0, "time that one statement takes its slot");
DEFINE_uint64(term, 1, "initial term");
DEFINE_string(role, "replica", "initial role: primary or replica");

namespace core = godwitbarrow::core;
namespace standins = godwitbarrow::standins;

namespace
{

std::map<std::string, core::endpoint> parse_peers(const std::string& text)
{
    std::map<std::string, core::endpoint> peers;
    std::istringstream in(text);
    for (std::string field; std::getline(in, field, ',');)
    {
        const auto equals = field.find('=');
        const auto at = core::parse_endpoint(
            equals == std::string::npos ? "" : field.substr(equals + 1));
        if (const auto* e = std::get_if<core::error>(&at))
            throw std::invalid_argument("--peers: " + e->message);
        peers[field.substr(0, equals)] = std::get<core::endpoint>(at);
    }
    return peers;
}

core::member_role parse_role(const std::string& text)
{
    if (text == "primary")
        return core::member_role::primary;
    if (text == "replica")
        return core::member_role::replica;
    throw std::invalid_argument("--role: write primary or replica");
}

standins::database_options options_from_flags()
{
    using std::chrono::milliseconds;
    standins::database_options o;
    o.name = FLAGS_name;
    o.address = FLAGS_address;
    o.port = static_cast<std::uint16_t>(FLAGS_port);
    o.peers = parse_peers(FLAGS_peers);
    o.slots = FLAGS_slots;
    o.connections = FLAGS_connections;
    o.connect_cost = milliseconds(FLAGS_connect_cost_ms);
    o.lag = milliseconds(FLAGS_lag_ms);
    o.service_time = milliseconds(FLAGS_service_ms);
    o.term = FLAGS_term;
    o.role = parse_role(FLAGS_role);
    return o;
}

}  // namespace

int main(int argc, char** argv)
try
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context io(1);
    const auto it =
        standins::start_database(io.get_executor(), options_from_flags());
    std::cout << "ready " << standins::port_of(it) << std::endl;
    boost::asio::signal_set signals(io, SIGTERM);
    signals.async_wait(
        [&](boost::system::error_code, int)
        {
            standins::stop(it);
            io.stop();
        });
    io.run();
}
catch (const std::exception& e)
{
    std::cerr << "database_standin: " << e.what()
              << "; correct the flags, see --help\n";
    return 1;
}
