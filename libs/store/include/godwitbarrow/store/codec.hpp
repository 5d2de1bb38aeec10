#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/store/records.hpp"

/// The platform's HTTP/JSON protocol without I/O. The decode functions take
/// the HTTP status code and the body of an answer. They give `conflict` for
/// 409, `not_found` for 404, `store_unavailable` for 5xx and `protocol_error`
/// for anything that they do not understand.
namespace godwitbarrow::store
{

/// Path of a row; both names are percent-encoded.
std::string row_path(std::string_view table, std::string_view key);
std::string object_path(std::string_view digest);

std::string encode_row_write(std::string_view value,
                             std::uint64_t expected_version);

core::result<versioned_value> decode_row(unsigned code, std::string_view body);
core::result<std::uint64_t> decode_version(unsigned code,
                                           std::string_view body);
core::result<std::string> decode_object(unsigned code, std::string body);
core::result<host_list> decode_hosts(unsigned code, std::string_view body);

}  // namespace godwitbarrow::store
