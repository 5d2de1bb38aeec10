#include "expiry.hpp"

#include <vector>

#include "answers.hpp"
#include "connections.hpp"
#include "placement.hpp"
#include "sessions.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

void expire_waiting(context& in, admission::queue_state& queue)
{
    for (const auto& it : admission::take_expired(queue, in.now))
    {
        const auto number = std::stoull(it.id.value);
        in.pooler.sessions.at(number).current->queued = false;
        fail_statement(in, number, failure_code::busy,
                       "waited for a member until its time was up");
    }
}

/// Whether the member should have answered the statement by now.
bool is_overdue(const context& in, const pending_statement& p)
{
    if (p.connection == 0 || p.queued || p.send_again)
        return false;
    if (in.now >= p.deadline)
        return true;
    const auto c = in.pooler.connections.find(p.connection);
    return !p.sent && c != in.pooler.connections.end() &&
           in.now - c->second.sent >= in.pooler.settings.begin_timeout;
}

void expire_running(context& in)
{
    const std::vector<session_number> active(in.pooler.active_sessions.begin(),
                                             in.pooler.active_sessions.end());
    for (const auto number : active)
    {
        const auto it = in.pooler.sessions.find(number);
        if (it == in.pooler.sessions.end() || !it->second.current)
            continue;
        auto& p = *it->second.current;
        if (p.send_again && in.now >= p.deadline)
            fail_statement(in, number, failure_code::aborted,
                           "the member stayed busy");
        else if (p.send_again)
            send_on_held(in, number);
        else if (is_overdue(in, p))
            time_out(in, number);
    }
}

void expire_connections(context& in)
{
    std::vector<connection_number> due;
    const auto& settings = in.pooler.settings;
    for (const auto& [number, c] : in.pooler.connections)
    {
        const auto age = in.now - c.phase_since;
        if ((c.phase == connection_phase::opening &&
             age >= settings.open_timeout) ||
            (c.phase == connection_phase::cleaning &&
             age >= settings.open_timeout) ||
            (c.phase == connection_phase::idle && age >= settings.idle_limit))
            due.push_back(number);
    }
    for (const auto number : due)
    {
        in.out.push_back(close_connection{number});
        take_lost(in, {number, std::nullopt, "timed out"});
    }
}

bool transaction_is_due(const context& in, const caller_session& s)
{
    if (s.tx.phase != transaction_phase::open || s.current)
        return false;
    const auto& limit = in.pooler.active_configuration.transaction_idle;
    if (limit.count() > 0 && in.now - s.idle_since >= limit)
        return true;
    return in.pooler.shutdown_since &&
           in.now - *in.pooler.shutdown_since >=
               in.pooler.settings.shutdown_transactions;
}

void expire_sessions(context& in)
{
    std::vector<session_number> close;
    for (auto& [number, s] : in.pooler.sessions)
    {
        if (transaction_is_due(in, s))
        {
            roll_back(in, s.tx.connection);
            s.tx.connection = 0;
            s.tx.phase = transaction_phase::failed;
            s.tx.lost_reason = "the transaction was idle for too long";
        }
        const bool idle = !s.current && s.tx.phase == transaction_phase::none;
        if (in.pooler.shutdown_since && idle &&
            in.now - s.idle_since >= in.pooler.settings.shutdown_idle)
            close.push_back(number);
    }
    for (const auto number : close)
        close_session(in, number);
}

}  // namespace

void expire(context& in)
{
    for (auto& [id, g] : in.pooler.groups)
    {
        expire_waiting(in, g.primary_queue);
        expire_waiting(in, g.read_queue);
    }
    expire_running(in);
    expire_connections(in);
    expire_sessions(in);
    for (auto& [id, g] : in.pooler.groups)
        dispatch(in, g);
}

void begin_shutdown(context& in)
{
    if (!in.pooler.shutdown_since)
        in.pooler.shutdown_since = in.now;
    expire_sessions(in);
}

}  // namespace godwitbarrow::pooler::detail
