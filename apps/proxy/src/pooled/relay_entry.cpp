#include <mutex>

#include "caller_guard.hpp"
#include "godwitbarrow/platform/caller_wire.hpp"
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
constexpr std::size_t max_outstanding = 32;
constexpr std::size_t max_outstanding_bytes = std::size_t{2} * 1024 * 1024;
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
        s.outstanding.push_back({true, std::nullopt});
        it.relays.outbound.emplace(session, std::move(s));
        p->second.outbound.insert(session);
        return owner;
    }
    return std::nullopt;
}

/// Forgets the session. Returns it, or nothing if it is not relayed.
std::optional<outbound_session> forget(app& it, pooler::session_number session)
{
    std::lock_guard lock(it.relays.mutex);
    const auto n = it.relays.outbound.find(session);
    if (n == it.relays.outbound.end())
        return std::nullopt;
    auto out = std::move(n->second);
    it.relays.outbound.erase(n);
    it.relays.peers[out.owner].outbound.erase(session);
    return out;
}

void notify_disconnected(app& it, const core::host_id& owner,
                         pooler::session_number session)
{
    send_item(it, owner,
              relay::make_item(relay::item_kind::disconnected, session));
}

struct noted_line
{
    core::host_id owner;
    bool too_much = false;
};

std::optional<noted_line> note_line(app& it, pooler::session_number session,
                                    std::string_view line)
{
    std::lock_guard lock(it.relays.mutex);
    const auto n = it.relays.outbound.find(session);
    if (n == it.relays.outbound.end())
        return std::nullopt;
    auto& s = n->second;
    s.outstanding.push_back({false, platform::parse_statement_head(line)});
    s.outstanding_bytes += line.size();
    return noted_line{s.owner, s.outstanding.size() > max_outstanding ||
                                   s.outstanding_bytes > max_outstanding_bytes};
}

/// The lines of what has arrived but the last whole one, which may be the
/// result, and the begin of the next.
std::string take_rows(outbound_session& of, std::string bytes)
{
    constexpr std::string_view line_end = "\r\n";
    of.unfinished += bytes;
    const auto last = of.unfinished.rfind(line_end);
    if (last == std::string::npos || last == 0)
        return {};
    const auto before = of.unfinished.rfind(line_end, last - 1);
    if (before == std::string::npos)
        return {};
    const auto size = before + line_end.size();
    bytes = of.unfinished.substr(0, size);
    of.unfinished.erase(0, size);
    return bytes;
}

/// The bytes for the caller; nothing if the host does not serve the session.
std::optional<std::string> record_answer(app& it, const core::host_id& from,
                                         relay::item& what)
{
    std::lock_guard lock(it.relays.mutex);
    const auto n = it.relays.outbound.find(what.session);
    if (n == it.relays.outbound.end() || n->second.owner != from)
        return std::nullopt;
    auto& s = n->second;
    if (what.more)
        return take_rows(s, std::move(what.bytes));
    if (!s.unfinished.empty())
        what.bytes = std::exchange(s.unfinished, {}) + what.bytes;
    s.idle = what.idle;
    s.last_answer = core::runtime_clock::now();
    if (!s.outstanding.empty())
        s.outstanding.pop_front();
    if (s.outstanding.empty())
        s.outstanding_bytes = 0;
    return std::move(what.bytes);
}

constexpr std::string_view no_outcome = "none";

/// What the caller is told of the lines that the owner has not answered.
struct substitute_answer
{
    std::string bytes;
    std::vector<pooler::outstanding_statement> statements;
    /// Name of the outcome in logs and metrics.
    std::string_view outcome = no_outcome;
};

substitute_answer answer_for_owner(const outbound_session& of,
                                   const std::string& reason)
{
    substitute_answer out;
    if (!of.outstanding.empty() && of.outstanding.front().startup)
    {
        const pooler::failure refusal{pooler::failure_code::busy, reason};
        out.bytes = platform::encode_refusal(refusal);
        out.outcome = pooler::to_string(refusal.code);
        return out;
    }
    for (const auto& line : of.outstanding)
        if (line.statement)
            out.statements.push_back(*line.statement);
    for (const auto& a :
         pooler::answer_without_owner(out.statements, !of.idle, reason))
    {
        out.bytes += platform::encode_answer(a);
        out.outcome = pooler::to_string(pooler::failure_of(a)->code);
    }
    return out;
}

void log_requests(app& it, const substitute_answer& of,
                  const core::host_id& owner, const std::string& reason)
{
    std::lock_guard lock(it.relays.mutex);
    for (const auto& statement : of.statements)
    {
        if (!may_log_request(it.relays.requests))
            continue;
        telemetry::log_event(telemetry::log_level::info,
                             "request not answered by its owner",
                             {{"request", statement.id},
                              {"outcome", of.outcome},
                              {"owner", owner},
                              {"reason", reason}});
    }
}

/// Ends the session of a caller whose owner serves it no longer. Each
/// outstanding statement is answered before the connection is closed.
/// Returns what it was answered.
std::string_view end_without_owner(app& it, pooler::session_number session,
                                   const std::string& reason)
{
    std::lock_guard lock(it.relays.answers);
    const auto ended = forget(it, session);
    if (!ended)
        return no_outcome;
    notify_disconnected(it, ended->owner, session);
    auto answer = answer_for_owner(*ended, reason);
    log_requests(it, answer, ended->owner, reason);
    if (!answer.bytes.empty())
        send_to_caller(it, session, std::move(answer.bytes));
    close_session(it, session);
    return answer.outcome;
}

/// An owner that is given up.
struct lost_owner
{
    std::set<pooler::session_number> sessions;
    /// Sessions with a statement that is not answered.
    std::size_t outstanding = 0;
    core::duration silence{0};
    std::size_t heartbeats = 0;
    /// Since the oldest unanswered heartbeat was sent.
    core::duration heartbeat_age{0};
    std::optional<core::duration> heartbeat_time;
};

lost_owner look_at_owner(app& it, const core::host_id& owner)
{
    lost_owner out;
    const auto now = core::runtime_clock::now();
    std::lock_guard lock(it.relays.mutex);
    const auto& p = it.relays.peers[owner];
    out.sessions = p.outbound;
    for (const auto session : p.outbound)
        out.outstanding += !it.relays.outbound.at(session).outstanding.empty();
    if (p.heard_at)
        out.silence = now - *p.heard_at;
    out.heartbeats = p.heartbeats.size();
    if (!p.heartbeats.empty())
        out.heartbeat_age = now - p.heartbeats.front();
    out.heartbeat_time = p.heartbeat_time;
    return out;
}

void log_lost_owner(app& it, const core::host_id& owner, const lost_owner& of,
                    const char* reason)
{
    const auto waiting = backlog_to(it, owner);
    const auto took =
        of.heartbeat_time
            ? telemetry::field("last_heartbeat_took", *of.heartbeat_time)
            : telemetry::field("last_heartbeat_took", "unknown");
    telemetry::log_event(telemetry::log_level::warning, "relayed sessions lost",
                         {{"owner", owner},
                          {"sessions", of.sessions.size()},
                          {"outstanding", of.outstanding},
                          {"silence", of.silence},
                          {"heartbeats_unanswered", of.heartbeats},
                          {"heartbeat_age", of.heartbeat_age},
                          took,
                          {"waiting_bytes", waiting.bytes},
                          {"waiting_age", waiting.age},
                          {"reason", reason}});
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
            if (s.idle && s.outstanding.empty() &&
                now - s.last_answer >= shutdown_idle)
                out.push_back(number);
        }
    }
    return out;
}

}  // namespace

void take_answer(app& it, const core::host_id& from, relay::item what)
{
    std::lock_guard lock(it.relays.answers);
    auto bytes = record_answer(it, from, what);
    if (!bytes)
        return;
    // The owner keeps the values of the session.
    if (!what.more)
        note_answer(it, what.session, 0, !what.idle);
    if (!bytes->empty())
        send_to_caller(it, what.session, std::move(*bytes));
}

void take_close(app& it, const core::host_id& from, const relay::item& what)
{
    {
        std::lock_guard lock(it.relays.mutex);
        const auto n = it.relays.outbound.find(what.session);
        if (n == it.relays.outbound.end() || n->second.owner != from)
            return;
    }
    end_without_owner(it, what.session, "the owner has ended the session");
}

void lose_owner(app& it, const core::host_id& owner, const char* reason)
{
    const auto of = look_at_owner(it, owner);
    if (of.sessions.empty())
        return;
    log_lost_owner(it, owner, of, reason);
    for (const auto session : of.sessions)
        telemetry::count_lost_session(*it.metrics,
                                      end_without_owner(it, session, reason));
}

void end_draining_callers(app& it)
{
    for (const auto session : find_idle(it))
        end_without_owner(it, session, "the host is shutting down");
}

}  // namespace detail

void end_relayed_callers(app& it)
{
    std::vector<pooler::session_number> all;
    {
        std::lock_guard lock(it.relays.mutex);
        for (const auto& [session, s] : it.relays.outbound)
            all.push_back(session);
    }
    for (const auto session : all)
        detail::end_without_owner(it, session, "the host is shutting down");
}

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
    const auto noted = detail::note_line(it, session, line);
    if (!noted)
        return false;
    if (noted->too_much)
    {
        telemetry::log_event(
            telemetry::log_level::warning, "caller disconnected",
            {{"owner", noted->owner},
             {"reason", "it sends more than the owner has answered"}});
        detail::end_without_owner(it, session, "too many statements wait");
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
    const auto ended = detail::forget(it, session);
    if (!ended)
        return false;
    detail::notify_disconnected(it, ended->owner, session);
    return true;
}

}  // namespace godwitbarrow::proxy::pooled
