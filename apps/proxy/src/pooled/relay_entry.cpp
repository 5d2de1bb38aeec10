#include <mutex>

#include "caller_guard.hpp"
#include "godwitbarrow/telemetry/log.hpp"
#include "links.hpp"
#include "mesh.hpp"
#include "owner_watch.hpp"
#include "relay.hpp"

/// The side of the host that holds the connection of the caller.
namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

/// Of one session, not answered yet. The owner ends a session with more
/// statements that wait for an earlier one.
constexpr std::size_t max_unanswered = 32;
constexpr std::size_t max_unanswered_bytes = std::size_t{2} * 1024 * 1024;
/// Callers of a host that is shutting down are disconnected once they are idle
/// for this long.
constexpr std::chrono::milliseconds shutdown_idle{50};

/// Registers the session with the first of the owners that can be reached.
std::optional<core::host_id> assign_owner(
    app& it, pooler::session_number session,
    const std::vector<core::host_id>& owners)
{
    std::lock_guard lock(it.relays.mutex);
    for (const auto& owner : owners)
    {
        const auto p = it.relays.peers.find(owner);
        if (p == it.relays.peers.end() || !takes_sessions(p->second))
            continue;
        outbound_session s;
        s.owner = owner;
        s.unanswered = 1;
        it.relays.outbound.emplace(session, std::move(s));
        p->second.outbound.insert(session);
        return owner;
    }
    return std::nullopt;
}

/// Forgets the session. Returns its owner, or nothing if it is not relayed.
std::optional<core::host_id> forget(app& it, pooler::session_number session)
{
    std::lock_guard lock(it.relays.mutex);
    const auto n = it.relays.outbound.find(session);
    if (n == it.relays.outbound.end())
        return std::nullopt;
    auto owner = std::move(n->second.owner);
    it.relays.outbound.erase(n);
    it.relays.peers[owner].outbound.erase(session);
    return owner;
}

struct noted_line
{
    core::host_id owner;
    bool too_much = false;
};

std::optional<noted_line> note_line(app& it, pooler::session_number session,
                                    std::size_t size)
{
    std::lock_guard lock(it.relays.mutex);
    const auto n = it.relays.outbound.find(session);
    if (n == it.relays.outbound.end())
        return std::nullopt;
    auto& s = n->second;
    ++s.unanswered;
    s.unanswered_bytes += size;
    return noted_line{s.owner, s.unanswered > max_unanswered ||
                                   s.unanswered_bytes > max_unanswered_bytes};
}

/// False if the session is not one that the host serves.
bool record_answer(app& it, const core::host_id& from, const relay::item& what)
{
    std::lock_guard lock(it.relays.mutex);
    const auto n = it.relays.outbound.find(what.session);
    if (n == it.relays.outbound.end() || n->second.owner != from)
        return false;
    auto& s = n->second;
    if (what.more)
        return true;
    s.idle = what.idle;
    s.last_answer = core::runtime_clock::now();
    if (s.unanswered > 0)
        --s.unanswered;
    if (s.unanswered == 0)
        s.unanswered_bytes = 0;
    return true;
}

std::vector<pooler::session_number> find_idle(app& it)
{
    std::vector<pooler::session_number> out;
    const auto now = core::runtime_clock::now();
    std::lock_guard lock(it.relays.mutex);
    const bool own = it.relays.draining_since.has_value();
    for (const auto& [host, p] : it.relays.peers)
    {
        if (!own && !p.draining_since)
            continue;
        for (const auto number : p.outbound)
        {
            const auto& s = it.relays.outbound.at(number);
            if (s.idle && s.unanswered == 0 &&
                now - s.last_answer >= shutdown_idle)
                out.push_back(number);
        }
    }
    return out;
}

}  // namespace

void take_answer(app& it, const core::host_id& from, relay::item what)
{
    if (!record_answer(it, from, what))
        return;
    // The owner keeps the values of the session.
    if (!what.more)
        note_answer(it, what.session, 0, !what.idle);
    send_to_caller(it, what.session, std::move(what.bytes));
}

void take_close(app& it, const core::host_id& from, const relay::item& what)
{
    {
        std::lock_guard lock(it.relays.mutex);
        const auto n = it.relays.outbound.find(what.session);
        if (n == it.relays.outbound.end() || n->second.owner != from)
            return;
    }
    forget(it, what.session);
    close_session(it, what.session);
}

void lose_owner(app& it, const core::host_id& owner, const char* reason)
{
    std::set<pooler::session_number> lost;
    std::size_t outstanding = 0;
    core::duration silence{0};
    {
        std::lock_guard lock(it.relays.mutex);
        const auto& p = it.relays.peers[owner];
        lost = p.outbound;
        for (const auto session : lost)
            outstanding += it.relays.outbound.at(session).unanswered > 0;
        if (p.heard_at)
            silence = core::runtime_clock::now() - *p.heard_at;
    }
    if (lost.empty())
        return;
    const auto waiting = backlog_to(it, owner);
    telemetry::log_event(telemetry::log_level::warning, "relayed sessions lost",
                         {{"owner", owner},
                          {"sessions", lost.size()},
                          {"outstanding", outstanding},
                          {"silence", silence},
                          {"waiting_bytes", waiting.bytes},
                          {"waiting_age", waiting.age},
                          {"reason", reason}});
    for (const auto session : lost)
    {
        // Nothing is claimed about a statement that is not answered, and the
        // caller may connect again at once.
        end_relayed_caller(it, session);
        disconnect_caller(it, session);
    }
}

void end_draining_callers(app& it)
{
    for (const auto session : find_idle(it))
    {
        end_relayed_caller(it, session);
        close_session(it, session);
    }
}

}  // namespace detail

bool relay_session(app& it, pooler::session_number session,
                   const std::string& database, std::string_view line)
{
    const auto owners = owners_of_database(it, database);
    if (owners.empty() || line.size() > relay::max_item_bytes)
        return false;
    const auto owner = detail::assign_owner(it, session, owners);
    if (!owner)
        return false;
    it.relays.used = true;
    detail::send_item(
        it, *owner,
        {relay::item_kind::start, session, std::string(line), false, false});
    return true;
}

bool relay_line(app& it, pooler::session_number session, std::string_view line)
{
    if (!it.relays.used)
        return false;
    const auto noted = detail::note_line(it, session, line.size());
    if (!noted)
        return false;
    if (noted->too_much)
    {
        telemetry::log_event(
            telemetry::log_level::warning, "caller disconnected",
            {{"owner", noted->owner},
             {"reason", "it sends more than the owner has answered"}});
        end_relayed_caller(it, session);
        disconnect_caller(it, session);
        return true;
    }
    note_statement(it, session, line.size());
    detail::send_item(
        it, noted->owner,
        {relay::item_kind::line, session, std::string(line), false, false});
    return true;
}

bool end_relayed_caller(app& it, pooler::session_number session)
{
    if (!it.relays.used)
        return false;
    const auto owner = detail::forget(it, session);
    if (!owner)
        return false;
    detail::send_item(
        it, *owner, relay::make_item(relay::item_kind::disconnected, session));
    return true;
}

}  // namespace godwitbarrow::proxy::pooled
