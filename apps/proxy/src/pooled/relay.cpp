#include "relay.hpp"

#include <algorithm>
#include <mutex>

#include "godwitbarrow/telemetry/log.hpp"
#include "mesh.hpp"
#include "store_link.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds watch_interval{250};
/// An owner that has sent nothing for this long while statements are
/// outstanding is taken for lost.
constexpr std::chrono::milliseconds silence_limit{1000};
/// A longer gap between two looks means that this host itself was stalled.
constexpr std::chrono::milliseconds stall_limit{500};
constexpr std::chrono::milliseconds drain_interval{25};
/// How long an item waits for the configuration of the entry host.
constexpr std::chrono::milliseconds configuration_limit{300};
constexpr std::chrono::milliseconds held_interval{10};

/// The batches that may be sent to the host now; one without items if only a
/// report is due.
std::vector<relay::batch> take_batches(app& it, const core::host_id& to)
{
    const auto version = it.configuration_version.load();
    std::lock_guard lock(it.relays.mutex);
    auto& p = it.relays.peers[to];
    p.flush_posted = false;
    const auto budget = relay::send_budget(p.flow, p.unsent.bytes);
    auto out = relay::make_batches(version, relay::take_next(p.unsent, budget));
    if (out.empty() && relay::is_report_due(p.flow))
        out.push_back({version, {}, std::nullopt});
    for (auto& b : out)
        b.taken = p.flow.reported = p.flow.taken;
    return out;
}

void note_sent(app& it, const core::host_id& to, std::size_t size)
{
    std::lock_guard lock(it.relays.mutex);
    it.relays.peers[to].flow.sent += size;
}

void lose_peer(app& it, const core::host_id& peer)
{
    lose_owner(it, peer, "the link to the owner is lost");
    lose_entry(it, peer);
}

void flush(app& it, const core::host_id& to)
{
    for (const auto& b : take_batches(it, to))
    {
        auto bytes = relay::encode(b);
        note_sent(it, to, bytes.size());
        if (!send_to_host(it, to, peer::topic::sessions, std::move(bytes)))
            return lose_peer(it, to);
    }
}

void post_flush(app& it, const core::host_id& to)
{
    boost::asio::post(it.relays.strand, [&it, to] { flush(it, to); });
}

/// Counts a message of the host, and what it reports as taken. Sends what may
/// be sent or is to be reported then.
void note_taken(app& it, const core::host_id& from, std::size_t size,
                const std::optional<std::uint64_t>& reported)
{
    {
        std::lock_guard lock(it.relays.mutex);
        auto& p = it.relays.peers[from];
        p.flow.taken += size;
        if (reported)
            p.flow.acknowledged = reported;
        const bool sends = reported && !empty(p.unsent);
        if (!p.linked || !(sends || relay::is_report_due(p.flow)) ||
            std::exchange(p.flush_posted, true))
            return;
    }
    post_flush(it, from);
}

/// The items of the host that wait no longer. A later item never overtakes one
/// that waits.
std::vector<relay::item> take_due(app& it, const core::host_id& from)
{
    std::vector<relay::item> out;
    const auto now = core::runtime_clock::now();
    const auto own = it.configuration_version.load();
    std::lock_guard lock(it.relays.mutex);
    auto& held = it.relays.peers[from].held;
    while (!held.empty() &&
           (held.front().configuration <= own || held.front().until <= now))
    {
        out.push_back(std::move(held.front().what));
        held.pop_front();
    }
    return out;
}

void release_held(app& it, const core::host_id& from)
{
    for (const auto& due : take_due(it, from))
        take_from_entry(it, from, due);
    bool waits = false;
    {
        std::lock_guard lock(it.relays.mutex);
        waits = !it.relays.peers[from].held.empty();
    }
    if (waits)
        after(it, held_interval, [&it, from] { release_held(it, from); });
}

/// Whether the item has to wait; it is kept then.
bool hold(app& it, const core::host_id& from, const relay::item& what,
          std::uint64_t configuration, bool& first)
{
    std::lock_guard lock(it.relays.mutex);
    auto& held = it.relays.peers[from].held;
    if (held.empty() && configuration <= it.configuration_version)
        return false;
    first = held.empty();
    held.push_back({what, configuration,
                    core::runtime_clock::now() + configuration_limit});
    return true;
}

/// Returns for how long the host was silent if it was taken for lost.
std::optional<core::duration> note_heard(app& it, const core::host_id& from)
{
    std::lock_guard lock(it.relays.mutex);
    auto& p = it.relays.peers[from];
    const auto now = core::runtime_clock::now();
    const auto before = std::exchange(p.heard_at, now);
    if (!std::exchange(p.silent, false))
        return std::nullopt;
    return now - before.value_or(now);
}

void log_heard_again(const core::host_id& from, core::duration silence)
{
    telemetry::log_event(telemetry::log_level::info, "owner heard again",
                         {{"owner", from}, {"silence", silence}});
}

void send_heartbeat(app& it, const core::host_id& to)
{
    {
        std::lock_guard lock(it.relays.mutex);
        it.relays.peers[to].heartbeats.push_back(core::runtime_clock::now());
    }
    send_item(it, to, relay::make_item(relay::item_kind::heartbeat));
}

void note_heartbeat_answer(app& it, const core::host_id& from)
{
    core::duration took{0};
    {
        std::lock_guard lock(it.relays.mutex);
        auto& p = it.relays.peers[from];
        if (p.heartbeats.empty())
            return;
        took = core::runtime_clock::now() - p.heartbeats.front();
        p.heartbeats.pop_front();
        p.heartbeat_time = took;
    }
    telemetry::observe_heartbeat(*it.metrics, took);
}

void note_draining(app& it, const core::host_id& from)
{
    {
        std::lock_guard lock(it.relays.mutex);
        it.relays.peers[from].draining_since = core::runtime_clock::now();
    }
    telemetry::log_event(telemetry::log_level::info, "host is shutting down",
                         {{"peer", from}});
    drain_entry(it, from);
}

void take_item(app& it, const core::host_id& from, relay::item what,
               std::uint64_t configuration)
{
    if (relay::is_for_owner(what.kind))
    {
        bool first = false;
        if (!hold(it, from, what, configuration, first))
            return take_from_entry(it, from, what);
        if (first)
            release_held(it, from);
        return;
    }
    switch (what.kind)
    {
        case relay::item_kind::answer:
            return take_answer(it, from, std::move(what));
        case relay::item_kind::close:
            return take_close(it, from, what);
        case relay::item_kind::heartbeat:
            return send_item(
                it, from, relay::make_item(relay::item_kind::heartbeat_answer));
        case relay::item_kind::heartbeat_answer:
            return note_heartbeat_answer(it, from);
        case relay::item_kind::draining:
            return note_draining(it, from);
        default:
            return;
    }
}

void take_message(app& it, const core::host_id& from, std::string_view bytes)
{
    auto got = relay::decode(bytes);
    auto* all = std::get_if<relay::batch>(&got);
    note_taken(it, from, bytes.size(), all ? all->taken : std::nullopt);
    if (!all)
        return telemetry::log_event(telemetry::log_level::warning,
                                    std::get<core::error>(got).message,
                                    {{"peer", from}});
    if (const auto silence = note_heard(it, from))
        log_heard_again(from, *silence);
    for (auto& what : all->items)
        take_item(it, from, std::move(what), all->configuration);
}

void take_link(app& it, const core::host_id& peer, bool open)
{
    bool draining = false;
    {
        std::lock_guard lock(it.relays.mutex);
        auto& p = it.relays.peers[peer];
        p.linked = open;
        // Of a link that is closed they are still shown with the sessions that
        // are lost.
        if (open)
        {
            p.heard_at.reset();
            p.heartbeats.clear();
            p.heartbeat_time.reset();
        }
        p.silent = false;
        p.held.clear();
        p.flow = {};
        // The host has started again.
        if (open)
            p.draining_since.reset();
        else
            p.unsent = {};
        draining = it.relays.draining_since.has_value();
    }
    if (!open)
        return lose_peer(it, peer);
    post_flush(it, peer);
    if (draining)
        send_item(it, peer, relay::make_item(relay::item_kind::draining));
}

bool has_outstanding(const relay_table& all, const relay_peer& p)
{
    return std::any_of(p.outbound.begin(), p.outbound.end(),
                       [&](auto number) {
                           return !all.outbound.at(number).outstanding.empty();
                       });
}

/// What is to be done about the owners that are silent.
struct silent_owners
{
    std::vector<core::host_id> to_ask;
    std::vector<core::host_id> lost;
};

silent_owners find_silent(app& it)
{
    silent_owners out;
    const auto now = core::runtime_clock::now();
    std::lock_guard lock(it.relays.mutex);
    auto& all = it.relays;
    const bool stalled = now - std::exchange(all.last_watch, now) > stall_limit;
    for (auto& [host, p] : all.peers)
    {
        if (!p.linked || !(p.silent || has_outstanding(all, p)))
        {
            p.heard_at.reset();
            continue;
        }
        if (!p.heard_at || stalled)
            p.heard_at = now;
        const auto silence = now - *p.heard_at;
        if (silence >= silence_limit && !std::exchange(p.silent, true))
            out.lost.push_back(host);
        if (p.silent || silence >= watch_interval)
            out.to_ask.push_back(host);
    }
    return out;
}

void watch_silence(app& it)
{
    const auto found = find_silent(it);
    for (const auto& host : found.lost)
        lose_owner(it, host, "the owner does not answer");
    for (const auto& host : found.to_ask)
        send_heartbeat(it, host);
    after(it, watch_interval, [&it] { watch_silence(it); });
}

void watch_draining(app& it)
{
    end_draining_callers(it);
    after(it, drain_interval, [&it] { watch_draining(it); });
}

std::vector<core::host_id> linked_hosts(app& it)
{
    std::vector<core::host_id> out;
    std::lock_guard lock(it.relays.mutex);
    for (const auto& [host, p] : it.relays.peers)
        if (p.linked)
            out.push_back(host);
    return out;
}

}  // namespace

void send_item(app& it, const core::host_id& to, relay::item what)
{
    {
        std::lock_guard lock(it.relays.mutex);
        auto& p = it.relays.peers[to];
        relay::push(p.unsent, std::move(what));
        if (std::exchange(p.flush_posted, true))
            return;
    }
    post_flush(it, to);
}

}  // namespace detail

void start_relaying(app& it)
{
    on_host_message(it, peer::topic::sessions,
                    [&it](const core::host_id& from, std::string_view bytes)
                    { detail::take_message(it, from, bytes); });
    on_host_link(it, [&it](const core::host_id& peer, bool open)
                 { detail::take_link(it, peer, open); });
    if (!it.settings.peers)
        return;
    detail::watch_silence(it);
    detail::watch_draining(it);
}

void stop_relaying(app& it)
{
    {
        std::lock_guard lock(it.relays.mutex);
        it.relays.draining_since = core::runtime_clock::now();
    }
    for (const auto& host : detail::linked_hosts(it))
        detail::send_item(it, host,
                          relay::make_item(relay::item_kind::draining));
}

bool has_unsent_items(app& it)
{
    std::lock_guard lock(it.relays.mutex);
    const auto& all = it.relays.peers;
    return std::any_of(all.begin(), all.end(),
                       [](const auto& n)
                       { return n.second.linked && !empty(n.second.unsent); });
}

std::size_t count_relayed_callers(app& it)
{
    std::lock_guard lock(it.relays.mutex);
    return it.relays.outbound.size();
}

}  // namespace godwitbarrow::proxy::pooled
