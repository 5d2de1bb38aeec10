#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "godwitbarrow/backend/messages.hpp"
#include "godwitbarrow/core/error.hpp"

/// The HTTP/JSON protocol of backend servers without I/O. The decode functions
/// take the HTTP status code and the body of an answer. They give `fenced` for
/// 409, `no_connection` for 503 and `protocol_error` for anything that they do
/// not understand.
namespace godwitbarrow::backend
{

std::string encode_call(const statement_call& it);
std::string encode_attempt(core::term_number term, const core::attempt_id& it);
std::string encode_follow(core::term_number term, const core::server_id& it);
std::string encode_lookup(const core::idempotency_key& it);
std::string status_path(core::log_number after, std::chrono::milliseconds wait);

core::result<core::backend_reply> decode_reply(unsigned code,
                                               std::string_view body);
core::result<core::member_status> decode_status(unsigned code,
                                                std::string_view body);
core::result<lookup_answer> decode_lookup(unsigned code, std::string_view body);

}  // namespace godwitbarrow::backend
