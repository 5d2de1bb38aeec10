#pragma once

#include <string>
#include <string_view>

#include "app.hpp"

/// What a host knows of the primary of each group, and where it learns it.
namespace godwitbarrow::proxy
{

/// Table and key prefix of the group rows in the platform's table service.
constexpr std::string_view group_table_name = "groups";

std::string encode_row(const failover::group_row& it);
core::result<failover::group_row> decode_row(std::string_view text);

/// The content of a group view that peers pass on.
std::string encode_primary(const std::optional<core::server_id>& it);
std::optional<core::server_id> decode_primary(const std::string& text);

/// Reads the group row and learns the view that it holds, if it is newer.
void refresh_view(app& it, const group_ptr& group);

/// Passes a view to the peers.
void announce_view(app& it, const core::group_id& group, core::term_number term,
                   const core::server_id& primary);

/// Learns a view at this host and passes it to the peers.
void publish_view(app& it, const group_ptr& group, core::term_number term,
                  const std::optional<core::server_id>& primary);

}  // namespace godwitbarrow::proxy
