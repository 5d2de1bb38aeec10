#include <boost/json.hpp>

#include "godwitbarrow/gateway/codec.hpp"

namespace godwitbarrow::gateway
{
namespace detail
{
namespace
{

namespace json = boost::json;

constexpr unsigned http_ok = 200;
constexpr unsigned http_bad_request = 400;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_conflict = 409;
constexpr unsigned http_payload_too_large = 413;
constexpr unsigned http_unprocessable = 422;
constexpr unsigned http_unavailable = 503;
constexpr unsigned http_gateway_timeout = 504;

void put_error(json::object& to, const core::error& it)
{
    const auto kind = core::to_string(it.kind);
    to["error"] = json::string_view(kind.data(), kind.size());
    to["message"] = it.message;
}

void put(json::object& to, const core::completed& it, std::string_view token)
{
    to["outcome"] = "completed";
    json::array rows;
    rows.reserve(it.rows.size());
    for (const auto& row : it.rows)
        rows.emplace_back(row);
    to["rows"] = std::move(rows);
    to["token"] = json::string_view(token.data(), token.size());
    to["server"] = it.server.value;
    to["term"] = it.at.term;
    to["position"] = it.at.position;
    if (it.transaction)
        to["transaction"] = it.transaction->value;
}

void put(json::object& to, const core::not_run& it, std::string_view)
{
    to["outcome"] = "not_run";
    put_error(to, it.reason);
    if (it.retry_after)
        to["retry_after_ms"] = it.retry_after->count();
}

void put(json::object& to, const core::outcome_unknown& it, std::string_view)
{
    to["outcome"] = "unknown";
    put_error(to, it.reason);
}

}  // namespace
}  // namespace detail

std::string format_outcome(const core::request_id& id, const core::outcome& it,
                           std::string_view token)
{
    boost::json::object out;
    out["request_id"] = id.value;
    std::visit([&](const auto& x) { detail::put(out, x, token); }, it);
    return boost::json::serialize(out);
}

std::string format_error(const core::request_id& id, const core::error& it)
{
    return format_outcome(id, core::not_run{it, std::nullopt});
}

unsigned http_status(core::error_kind not_run_because)
{
    switch (not_run_because)
    {
        case core::error_kind::malformed_request:
            return detail::http_bad_request;
        case core::error_kind::unknown_group:
        case core::error_kind::unknown_kind:
        case core::error_kind::unknown_transaction:
        case core::error_kind::not_found:
            return detail::http_not_found;
        case core::error_kind::transaction_lost:
        case core::error_kind::conflict:
            return detail::http_conflict;
        case core::error_kind::request_too_large:
            return detail::http_payload_too_large;
        case core::error_kind::statement_failed:
            return detail::http_unprocessable;
        default:
            return detail::http_unavailable;
    }
}

unsigned http_status(const core::outcome& it)
{
    if (std::holds_alternative<core::completed>(it))
        return detail::http_ok;
    if (const auto* x = std::get_if<core::not_run>(&it))
        return http_status(x->reason.kind);
    return detail::http_gateway_timeout;
}

}  // namespace godwitbarrow::gateway
