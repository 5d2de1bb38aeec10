#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>

#include "member_standin.hpp"
#include "processes.hpp"
#include "store_standin.hpp"

/// One host as a process of the program, with its store and a member as a
/// thread of the test.
namespace godwitbarrow::test
{

/// Memory and descriptors that the process may use. The system enforces the
/// descriptors; the tests check the memory.
inline constexpr std::size_t memory_limit_mib = 64;
inline constexpr std::size_t descriptor_limit = 512;

/// Size of the large messages and of the item "large" of the member. With the
/// other fields, a message of it is within the limit of 1 MiB.
inline constexpr std::size_t large_bytes = std::size_t{900} * 1024;

struct host_process
{
    host_process();
    ~host_process();
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work{io.get_executor()};
    std::shared_ptr<group_data> data = std::make_shared<group_data>();
    store_standin store{io};
    std::unique_ptr<member_standin> primary;
    std::thread standin_thread;
    std::string folder;
    std::string address;
    scenario::process process;
};

inline constexpr std::uint16_t callers_port = 21800;
inline constexpr std::uint16_t readiness_port = 21801;
inline constexpr std::uint16_t metrics_port = 21802;

bool is_running(host_process& it);

/// Largest resident memory of the process so far.
std::size_t peak_memory_mib(const host_process& it);

std::size_t open_descriptors(const host_process& it);

/// Whether a caller that behaves gets the answer to one read. A refused or
/// broken attempt is repeated, as callers do.
bool answers_ordinary_caller(const host_process& it);

/// Whether the port answers one GET with the status 200.
bool answers_http(const host_process& it, std::uint16_t port,
                  const std::string& path);

}  // namespace godwitbarrow::test
