#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <random>

#include "godwitbarrow/gateway/codec.hpp"

namespace godwitbarrow::gateway
{
namespace detail
{
namespace
{

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::array<std::string_view, 9> known_fields{
    "group",      "kind",        "access",          "statement",  "token",
    "max_age_ms", "deadline_ms", "idempotency_key", "transaction"};

/// Reads fields of one object and keeps the first error.
struct reader
{
    const json::object& from;
    const execute_limits& limits;
    std::optional<core::error> fault;
};

core::error malformed(std::string message)
{
    return {core::error_kind::malformed_request, std::move(message)};
}

void fail(reader& in, std::string_view field, std::string_view remedy)
{
    if (!in.fault)
        in.fault = malformed("field \"" + std::string(field) + "\" " +
                             std::string(remedy));
}

/// Empty if the field is absent or not a string.
std::string text(reader& in, std::string_view field)
{
    const auto* it = in.from.if_contains(field);
    if (!it)
        return {};
    if (const auto* s = it->if_string())
        return std::string(s->data(), s->size());
    fail(in, field, "must be a string");
    return {};
}

/// A string that is not empty and not longer than a name. Absent gives nothing.
std::optional<std::string> name(reader& in, std::string_view field)
{
    if (!in.from.contains(field))
        return std::nullopt;
    auto out = text(in, field);
    if (out.empty())
        fail(in, field, "must not be empty; leave it out or give a value");
    if (out.size() > in.limits.name_bytes)
        fail(in, field,
             "is too long; use at most " +
                 std::to_string(in.limits.name_bytes) + " bytes");
    return out;
}

std::string required_name(reader& in, std::string_view field)
{
    if (!in.from.contains(field))
        fail(in, field, "is missing; add it");
    return name(in, field).value_or("");
}

/// A positive number of milliseconds up to `longest`.
std::optional<milliseconds> time_span(reader& in, std::string_view field,
                                      milliseconds longest)
{
    const auto* it = in.from.if_contains(field);
    if (!it)
        return std::nullopt;
    if (!it->is_int64() && !it->is_uint64())
    {
        fail(in, field, "must be a whole number of milliseconds");
        return std::nullopt;
    }
    const auto* n = it->if_int64();
    if (!n || *n < 1 || *n > longest.count())
    {
        fail(in, field,
             "must be between 1 and " + std::to_string(longest.count()));
        return std::nullopt;
    }
    return milliseconds(*n);
}

void reject_unknown_fields(reader& in)
{
    for (const auto& it : in.from)
    {
        const std::string_view key(it.key().data(), it.key().size());
        if (std::find(known_fields.begin(), known_fields.end(), key) ==
            known_fields.end())
            fail(in, key.size() > in.limits.name_bytes ? "(long name)" : key,
                 "is unknown; remove it or correct its name");
    }
}

core::access_mode access(reader& in)
{
    const auto given = required_name(in, "access");
    const auto out = core::parse_access(given);
    if (!out)
        fail(in, "access",
             "must be read, write, begin, statement, commit or rollback");
    return out.value_or(core::access_mode::read);
}

bool takes_statement(core::access_mode it)
{
    return it == core::access_mode::read || it == core::access_mode::write ||
           it == core::access_mode::statement;
}

bool is_in_transaction(core::access_mode it)
{
    return it == core::access_mode::statement ||
           it == core::access_mode::commit || it == core::access_mode::rollback;
}

void check_statement(reader& in, const core::request& it)
{
    if (takes_statement(it.access) && it.statement.empty())
        fail(in, "statement", "is missing or empty; access needs a statement");
    if (!takes_statement(it.access) && in.from.contains("statement"))
        fail(in, "statement",
             "does not go with begin, commit or rollback; remove it");
}

void check_transaction(reader& in, const core::request& it)
{
    if (is_in_transaction(it.access) && !it.transaction)
        fail(in, "transaction",
             "is missing; give the id that the answer to begin returned");
    if (!is_in_transaction(it.access) && it.transaction)
        fail(in, "transaction",
             "goes only with statement, commit and rollback; use access "
             "\"statement\" inside a transaction");
}

void check_contradictions(reader& in, const core::request& it)
{
    check_statement(in, it);
    check_transaction(in, it);
    if (it.max_age && it.access != core::access_mode::read)
        fail(in, "max_age_ms", "goes only with access \"read\"; remove it");
    if (it.key && !core::is_write(it.access))
        fail(in, "idempotency_key",
             "goes only with access \"write\" or \"commit\"; remove it");
}

parsed_request read_fields(reader& in, core::time_point now)
{
    reject_unknown_fields(in);
    parsed_request out;
    auto& req = out.request;
    req.group.value = required_name(in, "group");
    req.kind = required_name(in, "kind");
    req.access = access(in);
    req.statement = text(in, "statement");
    out.token = text(in, "token");
    req.max_age = time_span(in, "max_age_ms", in.limits.longest_age);
    if (const auto it = name(in, "idempotency_key"))
        req.key = core::idempotency_key{*it};
    if (const auto it = name(in, "transaction"))
        req.transaction = core::transaction_id{*it};
    out.stated_deadline =
        time_span(in, "deadline_ms", in.limits.longest_deadline);
    req.deadline =
        now + out.stated_deadline.value_or(in.limits.default_deadline);
    check_contradictions(in, req);
    return out;
}

core::result<json::value> parse_json(std::string_view body)
{
    boost::system::error_code ec;
    auto out = json::parse(json::string_view(body.data(), body.size()), ec);
    if (ec)
        return malformed("the body is not valid JSON (" + ec.message() +
                         "); send one JSON object in UTF-8");
    if (!out.is_object())
        return malformed("the body is not a JSON object; send one object");
    return out;
}

/// 128 random bits in hexadecimal digits.
core::request_id new_request_id()
{
    thread_local std::mt19937_64 random(std::random_device{}());
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t length = 32;
    std::string out;
    std::uint64_t bits = 0;
    for (std::size_t n = 0; n < length; ++n)
    {
        if (n % 16 == 0)
            bits = random();
        out.push_back(digits[bits & 15]);
        bits >>= 4;
    }
    return {out};
}

bool is_printable(char c)
{
    return c > ' ' && c <= '~';
}

}  // namespace
}  // namespace detail

core::result<core::request_id> resolve_request_id(std::string_view header,
                                                  const execute_limits& limits)
{
    if (header.empty())
        return detail::new_request_id();
    if (header.size() > limits.name_bytes ||
        !std::all_of(header.begin(), header.end(), detail::is_printable))
        return detail::malformed(
            "header X-Request-Id must have at most " +
            std::to_string(limits.name_bytes) +
            " printable ASCII characters without spaces; shorten it or leave "
            "it out");
    return core::request_id{std::string(header)};
}

core::result<parsed_request> parse_execute(std::string_view body,
                                           std::string_view request_id_header,
                                           core::time_point now,
                                           const execute_limits& limits)
{
    const auto id = resolve_request_id(request_id_header, limits);
    if (const auto* e = std::get_if<core::error>(&id))
        return *e;
    const auto parsed = detail::parse_json(body);
    if (const auto* e = std::get_if<core::error>(&parsed))
        return *e;
    const auto& object = std::get<boost::json::value>(parsed).get_object();
    detail::reader in{object, limits, std::nullopt};
    auto out = detail::read_fields(in, now);
    if (in.fault)
        return *in.fault;
    out.request.id = std::get<core::request_id>(id);
    return out;
}

}  // namespace godwitbarrow::gateway
