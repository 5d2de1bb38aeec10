#include "godwitbarrow/backend/codec.hpp"

#include <array>
#include <boost/json.hpp>
#include <exception>
#include <stdexcept>
#include <utility>

namespace godwitbarrow::backend
{

namespace json = boost::json;

namespace detail
{
namespace
{

constexpr unsigned code_ok = 200;
constexpr unsigned code_conflict = 409;
constexpr unsigned code_unavailable = 503;

constexpr std::array<std::pair<std::string_view, core::reply_status>, 5>
    status_names{{{"executed", core::reply_status::executed},
                  {"wrong_term", core::reply_status::wrong_term},
                  {"not_primary", core::reply_status::not_primary},
                  {"rejected", core::reply_status::rejected},
                  {"busy", core::reply_status::busy}}};

core::reply_status parse_reply_status(std::string_view s)
{
    for (const auto& it : status_names)
        if (it.first == s)
            return it.second;
    throw std::invalid_argument("unknown status of a reply");
}

core::member_role parse_role(std::string_view s)
{
    if (s == "primary")
        return core::member_role::primary;
    if (s == "replica")
        return core::member_role::replica;
    throw std::invalid_argument("unknown role");
}

core::error error_of(unsigned code, std::string_view body)
{
    using core::error_kind;
    if (code == code_conflict)
        return {error_kind::fenced,
                "the member refused: " + std::string(body) +
                    "; read its status and use a higher term"};
    if (code == code_unavailable)
        return {error_kind::no_connection,
                "the server refused the connection: " + std::string(body) +
                    "; close another one or raise its limit"};
    return {error_kind::protocol_error,
            "the server answered " + std::to_string(code) +
                "; check that its version fits this one"};
}

/// Parses the body of a successful answer with `read`, which may throw.
template <class T, class Read>
core::result<T> decode(unsigned code, std::string_view body, Read read)
{
    if (code != code_ok)
        return error_of(code, body);
    try
    {
        const auto value = json::parse(json::string_view(body));
        return read(value.as_object());
    }
    catch (const std::exception& e)
    {
        return core::error{
            core::error_kind::protocol_error,
            std::string("malformed answer of a backend server (") + e.what() +
                "); check that its version fits this one"};
    }
}

std::string text(const json::object& o, const char* field)
{
    return std::string(o.at(field).as_string());
}

std::uint64_t number(const json::object& o, const char* field)
{
    return o.at(field).to_number<std::uint64_t>();
}

core::log_position read_position(const json::object& o)
{
    return {number(o, "term"), number(o, "position")};
}

std::vector<std::string> read_rows(const json::object& o)
{
    std::vector<std::string> rows;
    for (const auto& v : o.at("rows").as_array())
        rows.emplace_back(v.as_string());
    return rows;
}

core::backend_reply read_reply(const json::object& o)
{
    core::backend_reply r;
    r.status = parse_reply_status(text(o, "status"));
    r.id.value = text(o, "request_id");
    r.at = read_position(o);
    r.rows = read_rows(o);
    r.message = text(o, "message");
    return r;
}

core::member_status read_status(const json::object& o)
{
    core::member_status s;
    s.term = number(o, "term");
    s.log_term = number(o, "log_term");
    s.position = number(o, "position");
    s.role = parse_role(text(o, "role"));
    s.primary_contact = o.at("primary_contact").as_bool();
    return s;
}

lookup_answer read_lookup(const json::object& o)
{
    lookup_answer a;
    a.status = read_status(o.at("member").as_object());
    if (const auto* v = o.if_contains("stored"))
    {
        a.stored.emplace();
        a.stored->at = read_position(v->as_object());
        a.stored->rows = read_rows(v->as_object());
    }
    return a;
}

}  // namespace
}  // namespace detail

std::string encode_call(const statement_call& it)
{
    json::object o{{"request_id", it.id.value},
                   {"term", it.term},
                   {"access", json::string_view(core::to_string(it.access))},
                   {"statement", it.statement},
                   {"transaction", it.in_transaction}};
    if (it.key)
        o["idempotency_key"] = it.key->value;
    return json::serialize(o);
}

std::string encode_attempt(core::term_number term, const core::attempt_id& it)
{
    return json::serialize(json::object{{"term", term}, {"attempt", it.value}});
}

std::string encode_follow(core::term_number term, const core::server_id& it)
{
    return json::serialize(json::object{{"term", term}, {"primary", it.value}});
}

std::string encode_lookup(const core::idempotency_key& it)
{
    return json::serialize(json::object{{"idempotency_key", it.value}});
}

std::string status_path(core::log_number after, std::chrono::milliseconds wait)
{
    return "/status?after=" + std::to_string(after) +
           "&wait_ms=" + std::to_string(wait.count());
}

core::result<core::backend_reply> decode_reply(unsigned code,
                                               std::string_view body)
{
    return detail::decode<core::backend_reply>(code, body, detail::read_reply);
}

core::result<core::member_status> decode_status(unsigned code,
                                                std::string_view body)
{
    return detail::decode<core::member_status>(code, body, detail::read_status);
}

core::result<lookup_answer> decode_lookup(unsigned code, std::string_view body)
{
    return detail::decode<lookup_answer>(code, body, detail::read_lookup);
}

}  // namespace godwitbarrow::backend
