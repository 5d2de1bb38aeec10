#include <mutex>

#include "links.hpp"
#include "relay.hpp"

/// The side of the host that serves the session.
namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

/// A longer line ends the session.
constexpr std::size_t max_line_bytes = std::size_t{1024} * 1024 + 64;

/// A line that has arrived whole.
struct whole_line
{
    pooler::session_number session = 0;
    bool started = false;
    std::string text;
    bool too_long = false;
};

/// Registers the session under a number of this host.
void add_session(app& it, const core::host_id& from, const relay::item& what)
{
    it.relays.used = true;
    const auto session = ++it.last_session;
    std::lock_guard lock(it.relays.mutex);
    it.relays.inbound[session] = {from, what.session};
    it.relays.peers[from].inbound[what.session] = {session, false, {}};
}

/// Adds the part to the line. Returns nothing until it is whole.
std::optional<whole_line> add_part(app& it, const core::host_id& from,
                                   const relay::item& what)
{
    std::lock_guard lock(it.relays.mutex);
    auto& all = it.relays.peers[from].inbound;
    const auto n = all.find(what.session);
    if (n == all.end())
        return std::nullopt;
    auto& c = n->second;
    c.partial += what.bytes;
    whole_line out{c.session, c.started, {}, c.partial.size() > max_line_bytes};
    if (what.more && !out.too_long)
        return std::nullopt;
    out.text = std::exchange(c.partial, {});
    c.started = true;
    return out;
}

/// Forgets the session. Returns it, or nothing if it is not relayed.
std::optional<inbound_session> forget(app& it, pooler::session_number session)
{
    std::lock_guard lock(it.relays.mutex);
    const auto n = it.relays.inbound.find(session);
    if (n == it.relays.inbound.end())
        return std::nullopt;
    auto out = std::move(n->second);
    it.relays.inbound.erase(n);
    it.relays.peers[out.entry].inbound.erase(out.number);
    return out;
}

std::optional<core::time_point> draining_since(app& it,
                                               const core::host_id& entry)
{
    std::lock_guard lock(it.relays.mutex);
    return it.relays.peers[entry].draining_since;
}

void take_line(app& it, const core::host_id& from, const relay::item& what)
{
    auto line = add_part(it, from, what);
    if (!line)
        return;
    if (line->too_long)
        return disconnect_caller(it, line->session);
    const bool first = !line->started;
    take_caller_line(it, line->session, line->started, line->text, true);
    if (!first)
        return;
    if (const auto since = draining_since(it, from))
        handle(it, pooler::relayed_sessions_draining{{line->session}, *since});
}

void take_disconnect(app& it, const core::host_id& from,
                     const relay::item& what)
{
    pooler::session_number session = 0;
    {
        std::lock_guard lock(it.relays.mutex);
        const auto& all = it.relays.peers[from].inbound;
        const auto n = all.find(what.session);
        if (n == all.end())
            return;
        session = n->second.session;
    }
    forget(it, session);
    handle(it, pooler::caller_disconnected{session});
}

std::vector<pooler::session_number> sessions_of(app& it,
                                                const core::host_id& entry)
{
    std::vector<pooler::session_number> out;
    std::lock_guard lock(it.relays.mutex);
    for (const auto& [number, c] : it.relays.peers[entry].inbound)
        out.push_back(c.session);
    return out;
}

}  // namespace

void take_from_entry(app& it, const core::host_id& from,
                     const relay::item& what)
{
    if (what.kind == relay::item_kind::disconnected)
        return take_disconnect(it, from, what);
    if (what.kind == relay::item_kind::start)
        add_session(it, from, what);
    take_line(it, from, what);
}

void lose_entry(app& it, const core::host_id& entry)
{
    for (const auto session : sessions_of(it, entry))
    {
        forget(it, session);
        handle(it, pooler::caller_disconnected{session});
    }
}

void drain_entry(app& it, const core::host_id& entry)
{
    const auto since = draining_since(it, entry);
    auto sessions = sessions_of(it, entry);
    if (since && !sessions.empty())
        handle(it,
               pooler::relayed_sessions_draining{std::move(sessions), *since});
}

}  // namespace detail

bool answer_relayed(app& it, pooler::session_number session, std::string bytes,
                    bool idle)
{
    if (!it.relays.used)
        return false;
    inbound_session to;
    {
        std::lock_guard lock(it.relays.mutex);
        const auto n = it.relays.inbound.find(session);
        if (n == it.relays.inbound.end())
            return false;
        to = n->second;
    }
    detail::send_item(
        it, to.entry,
        {relay::item_kind::answer, to.number, std::move(bytes), false, idle});
    return true;
}

bool close_relayed(app& it, pooler::session_number session)
{
    if (!it.relays.used)
        return false;
    const auto to = detail::forget(it, session);
    if (!to)
        return false;
    detail::send_item(it, to->entry,
                      relay::make_item(relay::item_kind::close, to->number));
    return true;
}

}  // namespace godwitbarrow::proxy::pooled
