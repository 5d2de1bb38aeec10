#pragma once

#include <functional>
#include <string_view>

#include "app.hpp"
#include "godwitbarrow/platform/rows.hpp"

namespace godwitbarrow::proxy::pooled
{

/// Follows the operator's configuration, the registrations of the members and
/// the hosts of the proxy in the platform's store, until the process ends.
void watch_store(app& it);

/// Follows one table until the process ends: the handler gets all rows first
/// and whenever the history was lost (`whole`), then what changes. `wait` is
/// how long the store holds a call without a change.
void watch_table(
    app& it, std::string_view table, std::chrono::milliseconds wait,
    std::function<void(const platform::row_page&, bool whole)> handler);

}  // namespace godwitbarrow::proxy::pooled
