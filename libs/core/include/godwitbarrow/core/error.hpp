#pragma once

#include <string>
#include <string_view>
#include <variant>

namespace godwitbarrow::core
{

/// Kinds of failure that a caller, an operator or another module can act on.
enum class error_kind
{
    malformed_request,
    request_too_large,
    unknown_group,
    unknown_kind,
    unknown_transaction,
    transaction_lost,
    overloaded,
    deadline_exceeded,
    no_primary,
    no_quorum,
    stale_token,
    too_stale,
    no_connection,
    connection_lost,
    confirmation_timeout,
    fenced,
    statement_failed,
    draining,
    owner_unreachable,
    store_unavailable,
    conflict,
    not_found,
    invalid_settings,
    protocol_error,
    internal
};

/// `message` says what happened and what the reader can do about it.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
};

/// Either a value or an error.
template <class T>
using result = std::variant<T, error>;

template <class T>
bool ok(const result<T>& it)
{
    return std::holds_alternative<T>(it);
}

/// Stable identifier used in messages, metrics and documentation.
std::string_view to_string(error_kind kind);

/// `internal` for an identifier that this version does not know.
error_kind parse_error_kind(std::string_view text);

}  // namespace godwitbarrow::core
