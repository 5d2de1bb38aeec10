#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "godwitbarrow/backend/messages.hpp"
#include "godwitbarrow/standins/member_state.hpp"

/// JSON messages of the database stand-in. The decode functions throw
/// std::exception if a field is missing or has another type.
namespace godwitbarrow::standins
{

struct term_call
{
    core::term_number term = 0;
    std::string attempt;
};

struct follow_call
{
    core::term_number term = 0;
    std::string primary;
};

/// Fields that are absent leave the fault as it is.
struct database_faults
{
    std::optional<bool> pause_replication;
    std::optional<std::chrono::milliseconds> lag;
    /// Neither pulls from other members nor answers their pulls.
    std::optional<bool> cut_links;
    /// Silences the connections that are open now.
    bool silence_connections = false;
    /// Before each answer to a client.
    std::optional<std::chrono::milliseconds> delay;
};

backend::statement_call decode_call(std::string_view body);
term_call decode_term_call(std::string_view body);
follow_call decode_follow_call(std::string_view body);
std::string decode_lookup_call(std::string_view body);
database_faults decode_database_faults(std::string_view body);

std::string encode_reply(const core::backend_reply& it);
std::string encode_status(const core::member_status& it);
std::string encode_lookup_answer(const backend::lookup_answer& it);

std::string encode_pull(const pull_request& it);
pull_request decode_pull(std::string_view body);
std::string encode_pull_reply(const pull_reply& it);
pull_reply decode_pull_reply(std::string_view body);

/// The whole log and status, for tests.
std::string encode_dump(const member_state& it, core::time_point now);

}  // namespace godwitbarrow::standins
