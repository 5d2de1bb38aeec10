#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "godwitbarrow/backend/messages.hpp"
#include "godwitbarrow/standins/member_state.hpp"

/// The statement language of the database stand-in: `put K V`, `get K` and
/// `append K V`, without I/O.
namespace godwitbarrow::standins
{

/// Buffered changes of a transaction, bound to one connection.
struct transaction
{
    core::term_number term = 0;
    std::vector<std::string> changes;
};

struct statement
{
    enum class verb
    {
        put,
        get,
        append
    };
    verb what = verb::get;
    std::string key;
    /// The rest of the line; may contain blanks.
    std::string value;
};

std::optional<statement> parse_statement(std::string_view text);

/// Applies a `put` or `append`.
void apply(std::map<std::string, std::string>& data, const statement& it);

/// Runs one call. `open` is the transaction of the connection.
core::backend_reply execute(member_state& it, std::optional<transaction>& open,
                            const backend::statement_call& call,
                            core::time_point now);

/// What the member has stored under an idempotency key.
backend::lookup_answer lookup(const member_state& it, const std::string& key,
                              core::time_point now);

}  // namespace godwitbarrow::standins
