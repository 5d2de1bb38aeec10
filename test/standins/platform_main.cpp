#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>

#include "godwitbarrow/standins/platform.hpp"

DEFINE_string(address, "127.0.0.1", "loopback address to listen on");
DEFINE_uint32(port, 0, "port; 0 picks a free one");
DEFINE_uint32(host_lag_ms, 0, "until a change of the host list is shown, ms");

namespace standins = godwitbarrow::standins;

int main(int argc, char** argv)
try
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context io(1);
    const auto it = standins::start_platform(
        io.get_executor(),
        {FLAGS_address, static_cast<std::uint16_t>(FLAGS_port),
         std::chrono::milliseconds(FLAGS_host_lag_ms)});
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
    std::cerr << "platform_standin: " << e.what()
              << "; choose another --port\n";
    return 1;
}
