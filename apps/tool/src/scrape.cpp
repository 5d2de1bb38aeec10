#include "scrape.hpp"

#include <boost/asio/io_context.hpp>

#include "godwitbarrow/http/link.hpp"

namespace godwitbarrow::tool::detail
{
namespace
{

core::error fault(core::error_kind kind, const core::endpoint& target,
                  const std::string& what)
{
    return {kind, core::to_string(target) + ": " + what +
                      "; check that it is the admin port of a running host"};
}

core::result<std::string> body_of(const http::exchange_result& it,
                                  const core::endpoint& target)
{
    if (const auto* lost = std::get_if<http::failure>(&it))
        return fault(core::error_kind::connection_lost, target, lost->message);
    const auto& answer = std::get<http::answer>(it);
    constexpr unsigned success = 200;
    if (answer.code != success)
        return fault(core::error_kind::protocol_error, target,
                     "/metrics answered " + std::to_string(answer.code));
    return answer.body;
}

/// `to` is written before `io.run` returns.
void scrape(boost::asio::io_context& io, const core::endpoint& target,
            std::chrono::milliseconds timeout, core::result<std::string>& to)
{
    const auto reply_by = core::runtime_clock::now() + timeout;
    http::open_link(
        io.get_executor(), target, timeout,
        [target, reply_by, &to](const core::result<http::link_ptr>& opened)
        {
            if (!core::ok(opened))
            {
                to = fault(core::error_kind::no_connection, target,
                           std::get<core::error>(opened).message);
                return;
            }
            const auto link = std::get<http::link_ptr>(opened);
            http::exchange(link, {http::method::get, "/metrics", ""}, reply_by,
                           [target, link, &to](const http::exchange_result& it)
                           {
                               to = body_of(it, target);
                               http::close(link);
                           });
        });
}

}  // namespace

std::vector<core::result<std::string>> scrape_all(
    const std::vector<core::endpoint>& targets,
    std::chrono::milliseconds timeout)
{
    boost::asio::io_context io;
    std::vector<core::result<std::string>> results(targets.size());
    for (std::size_t n = 0; n < targets.size(); ++n)
        scrape(io, targets[n], timeout, results[n]);
    io.run();
    return results;
}

}  // namespace godwitbarrow::tool::detail
