#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// A small HTTP/1.1 server on 127.0.0.1 that can misbehave on request. It and
/// its hooks must run on one thread.
namespace godwitbarrow::standins
{

struct http_request
{
    std::string verb;
    std::string path;
    std::map<std::string, std::string> query;
    /// By name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_reply
{
    unsigned code = 200;
    std::string body;
    bool close_after = false;
    /// By name.
    std::map<std::string, std::string> headers = {};
};

struct http_server;
using http_server_ptr = std::shared_ptr<http_server>;
struct http_session;
using http_session_ptr = std::shared_ptr<http_session>;

struct http_hooks
{
    /// Answered by one `reply` or `drop`, at any later time.
    std::function<void(const http_session_ptr&, const http_request&)>
        on_request;
    /// The argument is the number of a session that has ended.
    std::function<void(std::uint64_t)> on_close;
};

/// Port 0 picks a free port. Throws boost::system::system_error if the port
/// cannot be used.
http_server_ptr listen(const boost::asio::any_io_executor& executor,
                       const std::string& address, std::uint16_t port,
                       http_hooks hooks);

std::uint16_t port_of(const http_server_ptr& it);

/// Unique within the server.
std::uint64_t number_of(const http_session_ptr& it);

void reply(const http_session_ptr& it, http_reply answer,
           std::chrono::milliseconds delay = std::chrono::milliseconds(0));

/// Closes the connection without an answer.
void drop(const http_session_ptr& it);

/// Never answers again on the connections that are open now, except on one.
/// Requests that arrive on them are ignored.
void silence_sessions(const http_server_ptr& it,
                      const http_session_ptr& except);

/// Stops listening and closes all sessions.
void stop(const http_server_ptr& it);

/// Calls `action` after `delay`, or at once if there is none.
void call_after(const boost::asio::any_io_executor& executor,
                std::chrono::milliseconds delay, std::function<void()> action);

}  // namespace godwitbarrow::standins
