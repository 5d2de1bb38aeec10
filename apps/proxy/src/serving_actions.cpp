#include "actions.hpp"
#include "group_runner.hpp"
#include "views.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds open_timeout{2000};
constexpr std::chrono::milliseconds probe_timeout{500};

struct target
{
    app& it;
    const group_ptr& group;
};

backend::connection_ptr find_connection(const target& at,
                                        serving::connection_number connection)
{
    std::lock_guard lock(at.it.connections.mutex);
    const auto n = at.it.connections.open.find({at.group->id, connection});
    return n == at.it.connections.open.end() ? nullptr : n->second;
}

backend::connection_ptr take_connection(const target& at,
                                        serving::connection_number connection)
{
    std::lock_guard lock(at.it.connections.mutex);
    const auto n = at.it.connections.open.find({at.group->id, connection});
    if (n == at.it.connections.open.end())
        return nullptr;
    auto found = n->second;
    at.it.connections.open.erase(n);
    return found;
}

void report_closed(const target& at, const core::server_id& server,
                   serving::connection_number connection)
{
    post(at.it, at.group,
         serving::event(serving::connection_closed{server, connection}));
}

// Hands a new connection to the decisions unless they have given it up.
void adopt_connection(const target& at, const serving::open_connection& what,
                      const backend::connection_ptr& opened)
{
    const connection_key key{at.group->id, what.connection};
    bool wanted = false;
    {
        std::lock_guard lock(at.it.connections.mutex);
        wanted = at.it.connections.opening.erase(key) > 0;
        if (wanted)
            at.it.connections.open[key] = opened;
    }
    if (!wanted)
        backend::close(opened);
    else
        post(at.it, at.group,
             serving::event(
                 serving::connection_opened{what.server, what.connection}));
}

void perform_one(const target& at, const serving::open_connection& what)
{
    const auto settings = current_settings(at.it);
    const auto n = settings->backend_servers.find(what.server);
    if (n == settings->backend_servers.end())
        return report_closed(at, what.server, what.connection);
    {
        std::lock_guard lock(at.it.connections.mutex);
        at.it.connections.opening.insert({at.group->id, what.connection});
    }
    backend::open_connection(
        at.it.io.get_executor(), n->second.address, open_timeout,
        [&it = at.it, group = at.group,
         what](const core::result<backend::connection_ptr>& opened)
        {
            const target to{it, group};
            if (ok(opened))
                return adopt_connection(
                    to, what, std::get<backend::connection_ptr>(opened));
            std::unique_lock lock(it.connections.mutex);
            const bool wanted =
                it.connections.opening.erase({group->id, what.connection}) > 0;
            lock.unlock();
            if (wanted)
                report_closed(to, what.server, what.connection);
        });
}

void perform_one(const target& at, const serving::close_connection& what)
{
    if (const auto found = take_connection(at, what.connection))
        return backend::close(found);
    std::lock_guard lock(at.it.connections.mutex);
    at.it.connections.opening.erase({at.group->id, what.connection});
}

void perform_one(const target& at, const serving::probe_connection& what)
{
    const auto found = find_connection(at, what.connection);
    if (!found)
        return report_closed(at, what.server, what.connection);
    backend::probe(
        found, probe_timeout,
        [&it = at.it, group = at.group,
         what](const core::result<std::monostate>& answer)
        {
            const target to{it, group};
            if (!ok(answer))
            {
                take_connection(to, what.connection);
                return report_closed(to, what.server, what.connection);
            }
            post(it, group,
                 serving::event(
                     serving::connection_opened{what.server, what.connection}));
        });
}

backend::statement_call to_call(const serving::send_statement& what)
{
    backend::statement_call it;
    it.id = what.request.id;
    it.term = what.term;
    it.access = what.request.access;
    it.statement = what.request.statement;
    it.in_transaction = what.request.transaction.has_value();
    it.key = what.request.key;
    return it;
}

void on_executed(const target& at, const serving::send_statement& what,
                 backend::execute_result result)
{
    if (auto* reply = std::get_if<core::backend_reply>(&result))
        return post(at.it, at.group,
                    serving::event(serving::reply_received{what.dispatch,
                                                           std::move(*reply)}));
    auto& failure = std::get<backend::send_failure>(result);
    post(at.it, at.group,
         serving::event(serving::dispatch_failed{
             what.dispatch, failure.any_byte_sent, failure.message}));
}

void perform_one(const target& at, const serving::send_statement& what)
{
    const auto found = find_connection(at, what.connection);
    if (!found)
        return on_executed(
            at, what,
            backend::send_failure{
                false,
                "the connection was closed; the request can be sent "
                "again"});
    backend::execute(
        found, to_call(what), what.reply_by,
        [&it = at.it, group = at.group, what](backend::execute_result result) {
            on_executed({it, group}, what, std::move(result));
        });
}

void respond(const target& at, const core::request_id& id, served result)
{
    served_handler handler;
    {
        std::lock_guard lock(at.group->mutex);
        const auto n = at.group->handlers.find(id);
        if (n == at.group->handlers.end())
            return;
        handler = std::move(n->second);
        at.group->handlers.erase(n);
    }
    handler(std::move(result));
}

void perform_one(const target& at, const serving::answer& what)
{
    respond(at, what.id, what.result);
}

void perform_one(const target& at, const serving::redirect& what)
{
    respond(at, what.id, what);
}

void perform_one(const target& at, const serving::refresh_view&)
{
    refresh_view(at.it, at.group);
}

void perform_one(const target& at, const serving::report_suspicion& what)
{
    post(
        at.it, at.group,
        failover::event(failover::suspicion_reported{what.server, at.it.self}));
}

}  // namespace
}  // namespace detail

void perform(app& it, const group_ptr& group, const serving::action& what)
{
    std::visit(
        [&](const auto& n) {
            detail::perform_one({it, group}, n);
        },
        what);
}

void perform(app& it, const group_ptr& group, const group_action& what)
{
    std::visit([&](const auto& n) { perform(it, group, n); }, what);
}

}  // namespace godwitbarrow::proxy
