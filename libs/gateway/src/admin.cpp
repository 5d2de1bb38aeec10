#include "godwitbarrow/gateway/admin.hpp"

#include "http_server.hpp"

namespace godwitbarrow::gateway
{

struct admin_server
{
    detail::http_server_ptr http;
};

namespace detail
{
namespace
{

constexpr std::string_view admin_prefix = "/v1/admin/";
constexpr std::size_t admin_connections = 32;
constexpr std::size_t admin_body_bytes = 1024;
constexpr unsigned http_not_allowed = 405;
constexpr unsigned http_internal_error = 500;

bool is_admin_path(std::string_view path, const std::string& health_path)
{
    if (path == health_path || path == "/metrics")
        return true;
    return path.size() > admin_prefix.size() &&
           path.substr(0, admin_prefix.size()) == admin_prefix;
}

http_reply no_route(const core::request_id& id)
{
    return error_reply(id,
                       {core::error_kind::not_found,
                        "there is no such route; see /healthz, /metrics and "
                        "/v1/admin/<name>"},
                       http_status(core::error_kind::not_found));
}

http_reply wrong_method(const core::request_id& id)
{
    auto out = error_reply(id,
                           {core::error_kind::malformed_request,
                            "this server is read-only; send GET"},
                           http_not_allowed);
    out.allow = "GET";
    return out;
}

http_reply too_long(const core::request_id& id)
{
    return error_reply(id,
                       {core::error_kind::internal,
                        "the answer exceeds 1 MiB; ask for a narrower one"},
                       http_internal_error);
}

http_reply make_reply(const http_request& req, const core::request_id& id,
                      const admin_handler& handler,
                      const std::string& health_path)
{
    if (req.method() != boost::beast::http::verb::get)
        return wrong_method(id);
    const auto path = path_of(req);
    if (!is_admin_path(path, health_path))
        return no_route(id);
    auto got = handler(path);
    if (!got)
        return no_route(id);
    if (got->body.size() > max_admin_answer_bytes)
        return too_long(id);
    http_reply out;
    out.status = got->status;
    out.content_type = std::move(got->content_type);
    out.body = std::move(got->body);
    return out;
}

}  // namespace
}  // namespace detail

core::result<admin_ptr> start_admin(
    const boost::asio::any_io_executor& executor, const core::endpoint& at,
    admin_handler handler, const std::string& health_path)
{
    gateway_limits limits;
    limits.open_connections = detail::admin_connections;
    // Half requests must not shut out the probes of the balancer.
    limits.replaces_oldest = true;
    limits.body_bytes = detail::admin_body_bytes;
    detail::http_handlers http;
    http.on_request =
        [handler = std::move(handler), health_path](
            const detail::session_ptr& from, const detail::http_request& req)
    {
        const auto id = std::get<core::request_id>(resolve_request_id({}));
        reply_to(from, current_exchange(from),
                 detail::make_reply(req, id, handler, health_path));
    };
    auto made = detail::start_http(executor, at, limits, std::move(http));
    if (const auto* e = std::get_if<core::error>(&made))
        return *e;
    return std::make_shared<admin_server>(
        admin_server{std::get<detail::http_server_ptr>(made)});
}

core::endpoint local_endpoint(const admin_ptr& it)
{
    return it->http->local;
}

void stop(const admin_ptr& it)
{
    detail::stop(it->http);
}

}  // namespace godwitbarrow::gateway
