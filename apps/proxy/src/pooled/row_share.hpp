#pragma once

#include <string_view>

#include "app.hpp"
#include "table_watch.hpp"

/// Tables of the store, read by this host or by others that pass on what they
/// read.
namespace godwitbarrow::proxy::pooled
{

/// Follows the table from now on, whoever reads it. The handler gets all rows
/// and then what changes; `whole` tells that rows which are not in the page no
/// longer exist. It runs on the strand of `app::hosts`.
void follow_table(app& it, std::string_view table, const watch_times& times,
                  row_handler handler);

/// Sets the handler for rows of other hosts. Called before `start_mesh`.
void accept_shared_rows(app& it);

/// Passes on all that is known to a host that asks for rows. This and what
/// follows is called on the strand of `app::hosts`.
void send_all_tables(app& it, const core::host_id& to);

/// Notes up to where another host knows the tables. If it goes on to know more
/// of one, its rows are asked for.
void note_positions(app& it, const core::host_id& from,
                    const std::vector<hosts::table_position>& known);

std::vector<hosts::table_position> known_positions(const app& it);

/// Whether each table is known and the store answered the last call for it.
bool store_answers(const app& it);

/// Whether the last call for some table failed.
bool store_fails(const app& it);

/// Has this host read the tables, or rest while others do.
void set_reading(app& it, const hosts::reader_role& role);

}  // namespace godwitbarrow::proxy::pooled
