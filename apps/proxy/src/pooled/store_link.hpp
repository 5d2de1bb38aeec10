#pragma once

#include <functional>

#include "app.hpp"
#include "godwitbarrow/http/link.hpp"
#include "godwitbarrow/platform/rows.hpp"

namespace godwitbarrow::proxy::pooled
{

/// One connection to a service of the platform, for one call at a time.
struct service_link
{
    core::endpoint to;
    http::link_ptr link;
};

std::shared_ptr<service_link> make_store_link(const app& it);

/// Makes a call on the link, which is opened if needed. The handler runs once.
void call_service(app& it, const std::shared_ptr<service_link>& on,
                  http::call what, std::chrono::milliseconds timeout,
                  std::function<void(http::exchange_result)> handler);

/// The rows that a call returned. Errors: store_unavailable without an answer,
/// or as of `platform::parse_rows`.
core::result<platform::row_page> page_of(const http::exchange_result& got);

/// Records the era that an answer of the store has shown.
void note_store_era(app& it, std::uint64_t era);

/// Runs the action after a pause.
void after(app& it, std::chrono::milliseconds pause,
           std::function<void()> action);

}  // namespace godwitbarrow::proxy::pooled
