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

std::shared_ptr<service_link> make_store_link(const app& it)
{
    auto link = std::make_shared<service_link>();
    link->to = it.settings.store;
    return link;
}

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

core::result<platform::row_page> page_of(const http::exchange_result& got)
{
    if (const auto* a = std::get_if<http::answer>(&got))
        return platform::parse_rows(*a);
    return core::error{core::error_kind::store_unavailable,
                       std::get<http::failure>(got).message};
}

void note_store_era(app& it, std::uint64_t era)
{
    auto known = it.store.newest_era.load();
    while (known < era)
        if (it.store.newest_era.compare_exchange_weak(known, era))
            break;
}

void after(app& it, std::chrono::milliseconds pause,
           std::function<void()> action)
{
    const auto t = std::make_shared<core::timer>(it.io, pause);
    t->async_wait(
        [t, action = std::move(action)](boost::system::error_code ec)
        {
            if (!ec)
                action();
        });
}

}  // namespace godwitbarrow::proxy::pooled
