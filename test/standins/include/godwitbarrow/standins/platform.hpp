#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

/// The platform's table service, object store and host list. It must run on
/// one thread.
namespace godwitbarrow::standins
{

struct platform_options
{
    /// Loopback address to listen on.
    std::string address = "127.0.0.1";
    /// 0 picks a free port.
    std::uint16_t port = 0;
    /// Until a change of the host list is shown.
    std::chrono::milliseconds host_lag{0};
};

struct platform_service;
using platform_ptr = std::shared_ptr<platform_service>;

/// Throws boost::system::system_error if the port cannot be used.
platform_ptr start_platform(const boost::asio::any_io_executor& executor,
                            const platform_options& options);

std::uint16_t port_of(const platform_ptr& it);

void stop(const platform_ptr& it);

}  // namespace godwitbarrow::standins
