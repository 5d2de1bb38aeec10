#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/store/records.hpp"

/// Client of the platform's table service, object store and host list.
///
/// Any thread may call these functions. Handlers run once, on the strand of
/// the client, and never before the function has returned. Every call fails
/// with `store_unavailable` if the service is down, answers late or has too
/// many calls waiting here.
namespace godwitbarrow::store
{

/// Calls that may wait for one of `max_concurrent`; more fail at once.
constexpr std::size_t longest_queue = 64;

struct client_options
{
    core::endpoint service;
    /// For one call, counted from its start and including its wait here.
    std::chrono::milliseconds timeout{2000};
    /// Calls, and so connections, that are in use at a time.
    std::size_t max_concurrent = 4;
};

struct client;
using client_ptr = std::shared_ptr<client>;

client_ptr make_client(const boost::asio::any_io_executor& executor,
                       const client_options& options);

/// `not_found` if the row is absent.
void read_row(const client_ptr& it, const std::string& table,
              const std::string& key,
              std::function<void(core::result<versioned_value>)> handler);

/// Writes the row if its version is `expected_version`; 0 means absent.
/// Answers with the new version, or with `conflict` if the version differs.
/// Any other error leaves open whether the write took effect.
void write_row(const client_ptr& it, const std::string& table,
               const std::string& key, const std::string& value,
               std::uint64_t expected_version,
               std::function<void(core::result<std::uint64_t>)> handler);

/// Stores a value under its digest; repeating it has no further effect.
void put_object(const client_ptr& it, const std::string& digest,
                const std::string& value,
                std::function<void(core::result<std::monostate>)> handler);

/// `not_found` if there is no object with this digest.
void get_object(const client_ptr& it, const std::string& digest,
                std::function<void(core::result<std::string>)> handler);

void list_hosts(const client_ptr& it,
                std::function<void(core::result<host_list>)> handler);

}  // namespace godwitbarrow::store
