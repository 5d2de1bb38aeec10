#include "godwitbarrow/standins/platform.hpp"

#include <boost/json.hpp>
#include <exception>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "godwitbarrow/standins/http_server.hpp"
#include "godwitbarrow/standins/platform_state.hpp"

namespace godwitbarrow::standins
{

namespace json = boost::json;

struct platform_service
{
    platform_options options;
    platform_state state;
    http_server_ptr server;
    bool down = false;
    std::chrono::milliseconds answer_delay{0};
    /// Changes that will take effect without an answer.
    std::uint64_t answers_to_lose = 0;
};

namespace detail
{
namespace
{

constexpr unsigned code_bad_request = 400;
constexpr unsigned code_not_found = 404;
constexpr unsigned code_conflict = 409;
constexpr unsigned code_unavailable = 503;

std::string text(const json::object& o, const char* field)
{
    return std::string(o.at(field).as_string());
}

json::value parse(const std::string& body)
{
    return json::parse(body);
}

/// The part of a path after a prefix such as "/objects/".
std::string after(const std::string& path, std::string_view prefix)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return {};
    return path.substr(prefix.size());
}

http_reply not_found()
{
    return {code_not_found, "{}", false};
}

http_reply read_row(const platform_service& it, const std::string& table,
                    const std::string& key)
{
    const auto row = find_row(it.state, table, key);
    if (!row)
        return not_found();
    return {200,
            json::serialize(
                json::object{{"value", row->value}, {"version", row->version}}),
            false};
}

conditional_put put_of(const json::object& o, std::string table,
                       std::string key)
{
    return {std::move(table), std::move(key), text(o, "value"),
            o.at("expected_version").to_number<std::uint64_t>()};
}

http_reply write_row(platform_service& it, const std::string& table,
                     const std::string& key, const std::string& body)
{
    const auto value = parse(body);
    const auto versions =
        write_rows(it.state, {put_of(value.as_object(), table, key)});
    if (!versions)
        return {code_conflict, "{}", false};
    return {200, json::serialize(json::object{{"version", versions->front()}}),
            false};
}

http_reply run_transaction(platform_service& it, const std::string& body)
{
    const auto value = parse(body);
    std::vector<conditional_put> puts;
    for (const auto& v : value.as_object().at("puts").as_array())
    {
        const auto& o = v.as_object();
        puts.push_back(put_of(o, text(o, "table"), text(o, "key")));
    }
    const auto versions = write_rows(it.state, puts);
    if (!versions)
        return {code_conflict, "{}", false};
    return {200,
            json::serialize(
                json::object{{"versions", json::value_from(*versions)}}),
            false};
}

http_reply take_row(platform_service& it, const http_request& r,
                    const std::string& rest)
{
    const auto slash = rest.find('/');
    if (slash == std::string::npos)
        return not_found();
    const auto table = rest.substr(0, slash);
    const auto key = rest.substr(slash + 1);
    return r.verb == "PUT" ? write_row(it, table, key, r.body)
                           : read_row(it, table, key);
}

http_reply take_object(platform_service& it, const http_request& r,
                       const std::string& digest)
{
    if (r.verb == "PUT")
    {
        it.state.objects[digest] = r.body;
        return {200, "{}", false};
    }
    const auto found = it.state.objects.find(digest);
    if (found == it.state.objects.end())
        return not_found();
    return {200, found->second, false};
}

http_reply show_hosts(platform_service& it)
{
    using store::host_kind;
    using store::host_state;
    json::array all;
    const auto list =
        shown_hosts(it.state, it.options.host_lag, core::runtime_clock::now());
    for (const auto& h : list.entries)
        all.push_back(json::object{
            {"name", h.name},
            {"kind", h.kind == host_kind::host ? "host" : "backend_server"},
            {"state", h.state == host_state::live ? "live" : "leaving"}});
    return {200,
            json::serialize(
                json::object{{"version", list.version}, {"hosts", all}}),
            false};
}

store::host_entry host_of(const json::object& o)
{
    using store::host_kind;
    using store::host_state;
    const auto kind = text(o, "kind");
    const auto state = text(o, "state");
    if ((kind != "host" && kind != "backend_server") ||
        (state != "live" && state != "leaving"))
        throw std::invalid_argument("unknown kind or state of a host");
    return {text(o, "name"),
            kind == "host" ? host_kind::host : host_kind::backend_server,
            state == "live" ? host_state::live : host_state::leaving};
}

http_reply change_hosts(platform_service& it, const std::string& body)
{
    const auto value = parse(body);
    std::vector<store::host_entry> hosts;
    for (const auto& v : value.as_object().at("hosts").as_array())
        hosts.push_back(host_of(v.as_object()));
    set_hosts(it.state, std::move(hosts), core::runtime_clock::now());
    return {200, "{}", false};
}

http_reply change_faults(platform_service& it, const std::string& body)
{
    const auto value = parse(body);
    const auto& o = value.as_object();
    if (const auto* v = o.if_contains("down"))
        it.down = v->as_bool();
    if (const auto* v = o.if_contains("delay_ms"))
        it.answer_delay =
            std::chrono::milliseconds(v->to_number<std::int64_t>());
    if (const auto* v = o.if_contains("lose_answers"))
        it.answers_to_lose = v->to_number<std::uint64_t>();
    return {200, "{}", false};
}

/// Requests of tests, which the faults do not touch.
bool is_control(const http_request& r)
{
    return r.path == "/faults" || (r.path == "/hosts" && r.verb == "POST");
}

http_reply take_control(platform_service& it, const http_request& r)
{
    return r.path == "/faults" ? change_faults(it, r.body)
                               : change_hosts(it, r.body);
}

http_reply take_call(platform_service& it, const http_request& r)
{
    if (const auto rest = after(r.path, "/table/"); !rest.empty())
        return take_row(it, r, rest);
    if (const auto digest = after(r.path, "/objects/"); !digest.empty())
        return take_object(it, r, digest);
    if (r.path == "/transaction")
        return run_transaction(it, r.body);
    return r.path == "/hosts" ? show_hosts(it) : not_found();
}

http_reply take_safely(platform_service& it, const http_request& r)
{
    try
    {
        return is_control(r) ? take_control(it, r) : take_call(it, r);
    }
    catch (const std::exception& e)
    {
        return {code_bad_request, e.what(), false};
    }
}

void take_request(platform_service& it, const http_session_ptr& s,
                  const http_request& r)
{
    if (is_control(r))
        return reply(s, take_safely(it, r));
    if (it.down)
        return reply(s, {code_unavailable, "{}", false}, it.answer_delay);
    auto answer = take_safely(it, r);
    if (r.verb != "GET" && answer.code == 200 && it.answers_to_lose > 0)
    {
        --it.answers_to_lose;
        return drop(s);
    }
    reply(s, std::move(answer), it.answer_delay);
}

}  // namespace
}  // namespace detail

platform_ptr start_platform(const boost::asio::any_io_executor& executor,
                            const platform_options& options)
{
    auto it = std::make_shared<platform_service>();
    it->options = options;
    const std::weak_ptr<platform_service> weak = it;
    http_hooks hooks;
    hooks.on_request = [weak](const http_session_ptr& s, const http_request& r)
    {
        if (const auto p = weak.lock())
            detail::take_request(*p, s, r);
    };
    it->server =
        listen(executor, options.address, options.port, std::move(hooks));
    return it;
}

std::uint16_t port_of(const platform_ptr& it)
{
    return port_of(it->server);
}

void stop(const platform_ptr& it)
{
    stop(it->server);
}

}  // namespace godwitbarrow::standins
