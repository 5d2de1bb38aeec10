#include "godwitbarrow/gateway/server.hpp"

#include <atomic>

#include "http_server.hpp"

namespace godwitbarrow::gateway
{

struct gateway_server
{
    detail::http_server_ptr http;
};

namespace detail
{
namespace
{

constexpr std::string_view execute_path = "/v1/execute";
constexpr unsigned http_not_allowed = 405;

/// The duty to answer one request.
struct pending
{
    session_ptr session;
    exchange_number exchange = 0;
    core::request_id id;
    std::atomic<bool> answered{false};

    pending(session_ptr s, core::request_id i)
        : session(std::move(s)),
          exchange(current_exchange(session)),
          id(std::move(i))
    {
    }
    pending(const pending&) = delete;
    pending& operator=(const pending&) = delete;
    ~pending();
};

std::chrono::seconds retry_after(const core::outcome& it)
{
    const auto* x = std::get_if<core::not_run>(&it);
    if (!x || !x->retry_after)
        return std::chrono::seconds(0);
    return std::chrono::ceil<std::chrono::seconds>(*x->retry_after);
}

void answer(pending& it, const core::outcome& what, std::string_view token)
{
    if (it.answered.exchange(true))
        return;
    http_reply reply;
    reply.status = http_status(what);
    reply.body = format_outcome(it.id, what, token);
    reply.request_id = it.id.value;
    reply.retry_after = retry_after(what);
    reply_to(it.session, it.exchange, std::move(reply));
}

pending::~pending()
{
    answer(*this,
           core::outcome_unknown{
               {core::error_kind::internal,
                "the request was dropped inside the proxy; look the outcome "
                "up with the idempotency key"}},
           {});
}

void reply_error(const session_ptr& to, const core::request_id& id,
                 const core::error& why)
{
    reply_to(to, current_exchange(to),
             error_reply(id, why, http_status(why.kind)));
}

void reply_wrong_method(const session_ptr& to, const core::request_id& id)
{
    auto reply =
        error_reply(id,
                    {core::error_kind::malformed_request,
                     "the method is not allowed; send POST /v1/execute"},
                    http_not_allowed);
    reply.allow = "POST";
    reply_to(to, current_exchange(to), std::move(reply));
}

void execute(const session_ptr& from, const http_request& req,
             const core::request_id& id, const gateway_limits& limits,
             const gateway_handlers& handlers)
{
    auto parsed = parse_execute(req.body(), id.value,
                                core::runtime_clock::now(), limits.execute);
    if (const auto* e = std::get_if<core::error>(&parsed))
        return reply_error(from, id, *e);
    set_request_id(from, id);
    const auto duty = std::make_shared<pending>(from, id);
    handlers.on_request(
        std::get<parsed_request>(std::move(parsed)),
        [duty](const core::outcome& what, const std::string& token)
        { answer(*duty, what, token); });
}

void route(const session_ptr& from, const http_request& req,
           const gateway_limits& limits, const gateway_handlers& handlers)
{
    const auto given = req["X-Request-Id"];
    const auto id =
        resolve_request_id({given.data(), given.size()}, limits.execute);
    if (const auto* e = std::get_if<core::error>(&id))
    {
        const auto made = resolve_request_id({}, limits.execute);
        return reply_error(from, std::get<core::request_id>(made), *e);
    }
    const auto& known = std::get<core::request_id>(id);
    if (path_of(req) != execute_path)
        return reply_error(from, known,
                           {core::error_kind::not_found,
                            "there is no such route; send POST /v1/execute"});
    if (req.method() != boost::beast::http::verb::post)
        return reply_wrong_method(from, known);
    execute(from, req, known, limits, handlers);
}

}  // namespace
}  // namespace detail

core::result<gateway_ptr> start_gateway(
    const boost::asio::any_io_executor& executor, const core::endpoint& at,
    const gateway_limits& limits, gateway_handlers handlers)
{
    detail::http_handlers http;
    http.on_gone = [call = handlers.on_caller_gone](const core::request_id& id)
    {
        if (call && !id.value.empty())
            call(id);
    };
    http.on_request =
        [limits, handlers = std::move(handlers)](
            const detail::session_ptr& from, const detail::http_request& req)
    {
        detail::route(from, req, limits, handlers);
    };
    auto made = detail::start_http(executor, at, limits, std::move(http));
    if (const auto* e = std::get_if<core::error>(&made))
        return *e;
    return std::make_shared<gateway_server>(
        gateway_server{std::get<detail::http_server_ptr>(made)});
}

core::endpoint local_endpoint(const gateway_ptr& it)
{
    return it->http->local;
}

void stop_accepting(const gateway_ptr& it)
{
    detail::stop_accepting(it->http);
}

void close_idle(const gateway_ptr& it)
{
    detail::drain(it->http);
}

void stop(const gateway_ptr& it)
{
    detail::stop(it->http);
}

std::size_t open_connections(const gateway_ptr& it)
{
    return it->http->open;
}

std::size_t requests_in_flight(const gateway_ptr& it)
{
    return it->http->in_flight;
}

}  // namespace godwitbarrow::gateway
