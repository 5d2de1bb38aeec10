#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "godwitbarrow/core/error.hpp"
#include "godwitbarrow/core/names.hpp"

/// What hosts of the mode pooler tell each other. Clocks of hosts differ, so
/// messages hold ages instead of times.
namespace godwitbarrow::hosts
{

/// When a host was last known to live.
struct host_sign
{
    core::host_id host;
    std::chrono::milliseconds age{0};
    bool leaving = false;
};

/// Up to where a host knows the rows of a table.
struct table_position
{
    std::string name;
    std::uint64_t era = 0;
    std::uint64_t version = 0;
    /// Since the begin of the last read that confirmed the position.
    std::chrono::milliseconds age{0};
};

/// The heartbeat between two hosts.
struct status
{
    std::vector<host_sign> signs;
    bool leaving = false;
    /// The sender reads the store, and its last calls were answered.
    bool reads_store = false;
    /// The sender asks for each row update from now on.
    bool wants_rows = false;
    std::vector<table_position> tables;
    /// The sender relies on the receiver's heartbeats.
    bool follows = false;
    /// The sender fetches large updates and serves them. Others get
    /// them unasked.
    bool supports_transfers = false;
};

struct table_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
};

/// All rows of a table, or those that changed after a version.
struct row_update
{
    std::string name;
    std::uint64_t era = 0;
    std::uint64_t version = 0;
    bool whole = false;
    /// Of an update that is not whole: rows that changed later are in it.
    std::uint64_t after = 0;
    /// Since the read began.
    std::chrono::milliseconds age{0};
    /// The steady clock of the store when the update is sent.
    std::chrono::milliseconds store_time{0};
    std::vector<table_row> rows;
    /// Large updates are sent in parts, counted from 0.
    std::uint32_t part = 0;
    bool more = false;
};

/// Asks for all rows of a table.
struct row_request
{
    std::string name;
};

/// The version of the configuration that the sender has in force.
struct configuration_notice
{
    std::uint64_t version = 0;
    /// The sender serves the rows and the text of it in chunks.
    bool supports_transfers = false;
    /// Era and version of the operator's table with it; 0 if the sender has the
    /// text only.
    std::uint64_t rows_era = 0;
    std::uint64_t rows_version = 0;
};

/// Asks for the configuration of this version or a newer one. Only for hosts
/// that do not serve it in chunks.
struct configuration_request
{
    std::uint64_t version = 0;
};

struct configuration_content
{
    std::uint64_t version = 0;
    /// As the operator wrote it.
    std::string text;
};

using message =
    std::variant<status, row_update, row_request, configuration_notice,
                 configuration_request, configuration_content>;

std::string encode(const message& it);

/// Errors: protocol_error if the bytes are not a whole, valid message.
core::result<message> decode(std::string_view bytes);

/// The update in parts of about this size, at least one.
std::vector<row_update> split(row_update it, std::size_t part_bytes);

}  // namespace godwitbarrow::hosts
