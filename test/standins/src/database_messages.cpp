#include "godwitbarrow/standins/database_messages.hpp"

#include <boost/json.hpp>
#include <stdexcept>

namespace godwitbarrow::standins
{

namespace json = boost::json;

namespace detail
{
namespace
{

using std::chrono::milliseconds;

json::value parse(std::string_view body)
{
    return json::parse(json::string_view(body));
}

std::string text(const json::object& o, const char* field)
{
    return std::string(o.at(field).as_string());
}

std::uint64_t number(const json::object& o, const char* field)
{
    return o.at(field).to_number<std::uint64_t>();
}

json::array to_array(const std::vector<std::string>& all)
{
    json::array a;
    for (const auto& it : all)
        a.emplace_back(it);
    return a;
}

std::vector<std::string> to_strings(const json::value& v)
{
    std::vector<std::string> all;
    for (const auto& it : v.as_array())
        all.emplace_back(it.as_string());
    return all;
}

std::optional<bool> find_bool(const json::object& o, const char* field)
{
    const auto* v = o.if_contains(field);
    if (!v)
        return {};
    return v->as_bool();
}

std::optional<milliseconds> find_ms(const json::object& o, const char* field)
{
    const auto* v = o.if_contains(field);
    if (!v)
        return {};
    return milliseconds(v->to_number<std::int64_t>());
}

json::string_view name_of(core::reply_status it)
{
    switch (it)
    {
        case core::reply_status::executed:
            return "executed";
        case core::reply_status::wrong_term:
            return "wrong_term";
        case core::reply_status::not_primary:
            return "not_primary";
        case core::reply_status::rejected:
            return "rejected";
        case core::reply_status::busy:
            break;
    }
    return "busy";
}

json::object status_object(const core::member_status& it)
{
    const bool leads = it.role == core::member_role::primary;
    return {{"term", it.term},
            {"log_term", it.log_term},
            {"position", it.position},
            {"role", leads ? "primary" : "replica"},
            {"primary_contact", it.primary_contact}};
}

json::object entry_object(const log_entry& it)
{
    return {{"term", it.term},
            {"changes", to_array(it.changes)},
            {"key", it.key},
            {"rows", to_array(it.rows)}};
}

log_entry entry_of(const json::value& v)
{
    const auto& o = v.as_object();
    log_entry e;
    e.term = number(o, "term");
    e.changes = to_strings(o.at("changes"));
    e.key = text(o, "key");
    e.rows = to_strings(o.at("rows"));
    return e;
}

}  // namespace
}  // namespace detail

backend::statement_call decode_call(std::string_view body)
{
    const auto value = detail::parse(body);
    const auto& o = value.as_object();
    const auto access = core::parse_access(detail::text(o, "access"));
    if (!access)
        throw std::invalid_argument("unknown access");
    backend::statement_call c;
    c.id.value = detail::text(o, "request_id");
    c.term = detail::number(o, "term");
    c.access = *access;
    c.statement = detail::text(o, "statement");
    c.in_transaction = o.at("transaction").as_bool();
    if (o.contains("idempotency_key"))
        c.key = core::idempotency_key{detail::text(o, "idempotency_key")};
    return c;
}

term_call decode_term_call(std::string_view body)
{
    const auto value = detail::parse(body);
    const auto& o = value.as_object();
    return {detail::number(o, "term"), detail::text(o, "attempt")};
}

follow_call decode_follow_call(std::string_view body)
{
    const auto value = detail::parse(body);
    const auto& o = value.as_object();
    return {detail::number(o, "term"), detail::text(o, "primary")};
}

std::string decode_lookup_call(std::string_view body)
{
    const auto value = detail::parse(body);
    return detail::text(value.as_object(), "idempotency_key");
}

database_faults decode_database_faults(std::string_view body)
{
    const auto value = detail::parse(body);
    const auto& o = value.as_object();
    database_faults f;
    f.pause_replication = detail::find_bool(o, "pause_replication");
    f.lag = detail::find_ms(o, "lag_ms");
    f.cut_links = detail::find_bool(o, "cut_links");
    f.silence_connections =
        detail::find_bool(o, "silence_connections").value_or(false);
    f.delay = detail::find_ms(o, "delay_ms");
    return f;
}

std::string encode_reply(const core::backend_reply& it)
{
    return json::serialize(json::object{{"request_id", it.id.value},
                                        {"status", detail::name_of(it.status)},
                                        {"term", it.at.term},
                                        {"position", it.at.position},
                                        {"rows", detail::to_array(it.rows)},
                                        {"message", it.message}});
}

std::string encode_status(const core::member_status& it)
{
    return json::serialize(detail::status_object(it));
}

std::string encode_lookup_answer(const backend::lookup_answer& it)
{
    json::object o{{"member", detail::status_object(it.status)}};
    if (it.stored)
        o["stored"] = json::object{{"term", it.stored->at.term},
                                   {"position", it.stored->at.position},
                                   {"rows", detail::to_array(it.stored->rows)}};
    return json::serialize(o);
}

std::string encode_pull(const pull_request& it)
{
    json::array spans;
    for (const auto& s : it.spans)
        spans.push_back(json::object{{"term", s.term}, {"last", s.last}});
    return json::serialize(json::object{{"term", it.term},
                                        {"log_term", it.log_term},
                                        {"spans", spans},
                                        {"lag_ms", it.lag.count()}});
}

pull_request decode_pull(std::string_view body)
{
    const auto value = detail::parse(body);
    const auto& o = value.as_object();
    pull_request r;
    r.term = detail::number(o, "term");
    r.log_term = detail::number(o, "log_term");
    r.lag = detail::milliseconds(o.at("lag_ms").to_number<std::int64_t>());
    for (const auto& v : o.at("spans").as_array())
        r.spans.push_back({detail::number(v.as_object(), "term"),
                           detail::number(v.as_object(), "last")});
    return r;
}

std::string encode_pull_reply(const pull_reply& it)
{
    json::array entries;
    for (const auto& e : it.entries)
        entries.push_back(detail::entry_object(e));
    return json::serialize(json::object{{"accepted", it.accepted},
                                        {"term", it.term},
                                        {"base", it.base},
                                        {"common", it.common},
                                        {"entries", entries}});
}

pull_reply decode_pull_reply(std::string_view body)
{
    const auto value = detail::parse(body);
    const auto& o = value.as_object();
    pull_reply r;
    r.accepted = o.at("accepted").as_bool();
    r.term = detail::number(o, "term");
    r.base = detail::number(o, "base");
    r.common = detail::number(o, "common");
    for (const auto& v : o.at("entries").as_array())
        r.entries.push_back(detail::entry_of(v));
    return r;
}

std::string encode_dump(const member_state& it, core::time_point now)
{
    json::array log;
    for (const auto& e : it.log)
        log.push_back(detail::entry_object(e));
    return json::serialize(
        json::object{{"name", it.name},
                     {"status", detail::status_object(status_of(it, now))},
                     {"log", log}});
}

}  // namespace godwitbarrow::standins
