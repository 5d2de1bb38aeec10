#include "store_link.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{
constexpr std::chrono::milliseconds connect_timeout{800};
}
}  // namespace detail

void call_service(app& it, const std::shared_ptr<service_link>& on,
                  http::call what, std::chrono::milliseconds timeout,
                  std::function<void(http::exchange_result)> handler)
{
    const auto by = core::runtime_clock::now() + timeout;
    if (on->link && http::is_open(on->link))
        return http::exchange(on->link, std::move(what), by,
                              std::move(handler));
    http::open_link(
        it.io.get_executor(), on->to, detail::connect_timeout,
        [on, what = std::move(what), by, handler = std::move(handler)](
            core::result<http::link_ptr> opened) mutable
        {
            if (const auto* e = std::get_if<core::error>(&opened))
                return handler(http::failure{false, false, e->message});
            on->link = std::get<http::link_ptr>(opened);
            http::exchange(on->link, std::move(what), by, std::move(handler));
        });
}

}  // namespace godwitbarrow::proxy::pooled
