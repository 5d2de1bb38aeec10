#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/core/error.hpp"

/// One HTTP/1.1 connection of a client that carries one request at a time.
/// Handlers run on the strand of the link and never before the function that
/// they were passed to has returned.
namespace godwitbarrow::http
{

struct link;
using link_ptr = std::shared_ptr<link>;

enum class method
{
    get,
    put,
    post
};

struct header
{
    std::string name;
    std::string value;
};

struct call
{
    method verb = method::get;
    std::string target;
    std::string body;
    /// Besides those that every call carries.
    std::vector<header> headers = {};
};

struct answer
{
    /// HTTP status code.
    unsigned code = 0;
    std::string body;
    std::vector<header> headers = {};
};

/// The value of the first header with this name, in any case of letters; null
/// if there is none.
const std::string* find_header(const answer& it, std::string_view name);

struct failure
{
    /// Whether a write of the request was started.
    bool any_byte_sent = false;
    bool timed_out = false;
    std::string message;
};

using exchange_result = std::variant<answer, failure>;

/// Connects within `timeout`, else `no_connection`.
void open_link(const boost::asio::any_io_executor& executor,
               const core::endpoint& to, std::chrono::milliseconds timeout,
               std::function<void(core::result<link_ptr>)> handler);

/// Sends a call and waits for its whole answer until `reply_by`. The link is
/// closed after any failure. A call on a link that is closed, that has a call
/// in flight or that holds unread bytes fails with nothing sent.
void exchange(const link_ptr& it, call request, core::time_point reply_by,
              std::function<void(exchange_result)> handler);

/// Closes the link; a call in flight fails.
void close(const link_ptr& it);

/// False once the link was closed or the server announced that it closes.
bool is_open(const link_ptr& it);

}  // namespace godwitbarrow::http
