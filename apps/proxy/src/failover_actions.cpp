#include "actions.hpp"
#include "group_runner.hpp"
#include "observer.hpp"
#include "peers.hpp"
#include "roles.hpp"
#include "views.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds member_call_timeout{1000};

struct target
{
    app& it;
    const group_ptr& group;
};

void perform_one(const target& at, const failover::read_row&)
{
    store::read_row(
        at.it.store, std::string(group_table_name), at.group->id.value,
        [&it = at.it,
         group = at.group](const core::result<store::versioned_value>& read)
        {
            failover::row_read event;
            if (!ok(read))
                event.row = std::get<core::error>(read);
            else
            {
                const auto& n = std::get<store::versioned_value>(read);
                auto row = decode_row(n.value);
                if (ok(row))
                    event.row = failover::versioned_row{
                        std::get<failover::group_row>(row), n.version};
                else
                    event.row = std::get<core::error>(row);
            }
            if (!ok(event.row) && std::get<core::error>(event.row).kind ==
                                      core::error_kind::store_unavailable)
                telemetry::count_store_error(*it.metrics, "read_group_row");
            post(it, group, failover::event(event));
        });
}

void perform_one(const target& at, const failover::write_row& what)
{
    store::write_row(
        at.it.store, std::string(group_table_name), at.group->id.value,
        encode_row(what.row), what.expected_version,
        [&it = at.it,
         group = at.group](const core::result<std::uint64_t>& version)
        {
            if (!ok(version))
                telemetry::count_store_error(*it.metrics, "write_group_row");
            post(it, group, failover::event(failover::row_written{version}));
        });
}

void perform_one(const target& at, const failover::ask_observers& what)
{
    for (const auto& n : what.observers)
        send_to(at.it, n, peer::observe{what.round, at.group->id, what.server});
    observe_server(
        at.it, what.server,
        [&it = at.it, group = at.group, what](
            bool reachable, const std::optional<core::member_status>& status)
        {
            post(it, group,
                 failover::event(failover::observation_received{
                     what.round, it.self, what.server, reachable, status}));
        });
}

using member_answer = core::result<core::member_status>;

// Calls a member on a new connection, which is closed afterwards.
void call_member(const target& at, const core::server_id& server,
                 const std::function<void(const backend::connection_ptr&,
                                          backend::status_handler)>& call,
                 const std::function<void(const member_answer&)>& done)
{
    const auto settings = current_settings(at.it);
    const auto n = settings->backend_servers.find(server);
    if (n == settings->backend_servers.end())
        return done(core::error{core::error_kind::not_found,
                                server.value + " is not in the settings"});
    backend::open_connection(
        at.it.io.get_executor(), n->second.address, member_call_timeout,
        [call, done](const core::result<backend::connection_ptr>& opened)
        {
            if (!ok(opened))
                return done(std::get<core::error>(opened));
            const auto connection = std::get<backend::connection_ptr>(opened);
            call(connection,
                 [connection, done](const member_answer& answer)
                 {
                     backend::close(connection);
                     done(answer);
                 });
        });
}

void perform_one(const target& at, const failover::fence_member& what)
{
    call_member(
        at, what.server,
        [what](const auto& connection, auto handler)
        {
            backend::fence(connection, what.term, what.attempt,
                           member_call_timeout, handler);
        },
        [&it = at.it, group = at.group, what](const member_answer& answer)
        {
            post(
                it, group,
                failover::event(failover::fence_answered{what.server, answer}));
        });
}

void perform_one(const target& at, const failover::promote_member& what)
{
    call_member(
        at, what.server,
        [what](const auto& connection, auto handler)
        {
            backend::promote(connection, what.term, what.attempt,
                             member_call_timeout, handler);
        },
        [&it = at.it, group = at.group, what](const member_answer& answer)
        {
            post(it, group,
                 failover::event(
                     failover::promote_answered{what.server, answer}));
        });
}

void perform_one(const target& at, const failover::follow_primary& what)
{
    call_member(
        at, what.server,
        [what](const auto& connection, auto handler)
        {
            backend::follow(connection, what.term, what.primary,
                            member_call_timeout, handler);
        },
        [](const member_answer&) {});
}

void perform_one(const target& at, const failover::publish_view& what)
{
    publish_view(at.it, at.group, what.term, what.primary);
}

void perform_one(const target& at, const failover::report_to_coordinator& what)
{
    if (const auto n = coordinator_of_group(at.it, at.group->id))
        send_to(at.it, *n,
                peer::suspicion{at.group->id, what.server, at.it.self});
}

std::string_view step_name(failover::report_progress::step it)
{
    constexpr std::string_view names[] = {
        "suspected", "cleared", "confirmed", "claimed",   "waiting_for_store",
        "fenced",    "chosen",  "promoted",  "published", "abandoned"};
    return names[static_cast<std::size_t>(it)];
}

void perform_one(const target& at, const failover::report_progress& what)
{
    const auto step = step_name(what.reached);
    telemetry::count_failover_step(*at.it.metrics, step);
    telemetry::log_event(telemetry::log_level::info, "failover step",
                         {{"group", at.group->id},
                          {"step", step},
                          {"term", what.term},
                          {"detail", what.detail}});
}

}  // namespace
}  // namespace detail

void perform(app& it, const group_ptr& group, const failover::action& what)
{
    std::visit(
        [&](const auto& n) {
            detail::perform_one({it, group}, n);
        },
        what);
}

}  // namespace godwitbarrow::proxy
