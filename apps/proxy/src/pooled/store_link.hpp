#pragma once

#include <functional>

#include "app.hpp"
#include "godwitbarrow/http/link.hpp"

namespace godwitbarrow::proxy::pooled
{

/// One connection to a service of the platform, for one call at a time.
struct service_link
{
    core::endpoint to;
    http::link_ptr link;
};

/// Makes a call on the link, which is opened if needed. The handler runs once.
void call_service(app& it, const std::shared_ptr<service_link>& on,
                  http::call what, std::chrono::milliseconds timeout,
                  std::function<void(http::exchange_result)> handler);

}  // namespace godwitbarrow::proxy::pooled
