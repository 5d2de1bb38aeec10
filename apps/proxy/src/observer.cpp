#include "observer.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

// Together below the time that the coordinator gives a round of observers.
constexpr std::chrono::milliseconds open_timeout{250};
constexpr std::chrono::milliseconds status_timeout{200};

}  // namespace
}  // namespace detail

void observe_server(
    app& it, const core::server_id& server,
    const std::function<void(bool reachable,
                             std::optional<core::member_status>)>& handler)
{
    const auto settings = current_settings(it);
    const auto n = settings->backend_servers.find(server);
    if (n == settings->backend_servers.end())
        return handler(false, std::nullopt);
    backend::open_connection(
        it.io.get_executor(), n->second.address, detail::open_timeout,
        [handler](const core::result<backend::connection_ptr>& opened)
        {
            if (!ok(opened))
                return handler(false, std::nullopt);
            const auto connection = std::get<backend::connection_ptr>(opened);
            backend::read_status(
                connection, 0, std::chrono::milliseconds(0),
                detail::status_timeout,
                [handler,
                 connection](const core::result<core::member_status>& status)
                {
                    backend::close(connection);
                    if (ok(status))
                        handler(true, std::get<core::member_status>(status));
                    else
                        handler(true, std::nullopt);
                });
        });
}

}  // namespace godwitbarrow::proxy
