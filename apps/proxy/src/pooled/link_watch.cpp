#include "link_watch.hpp"

#include <algorithm>

#include "godwitbarrow/telemetry/log.hpp"
#include "mesh.hpp"
#include "store_link.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds look_interval{250};
/// A message that waits for longer, or a loop that is later, is logged.
constexpr std::chrono::milliseconds logged_delay{250};

/// More bytes handed to all links since the last look are logged. A link of
/// 10 Mbit/s is busy for 0.2 s with them.
constexpr std::uint64_t logged_bytes = std::uint64_t{256} * 1024;
/// Between two lines about bytes that were sent.
constexpr std::chrono::milliseconds sent_log_interval{1000};

using topic_bytes = std::map<peer::topic, std::uint64_t>;

/// What the looks at the links keep.
struct link_watch
{
    topic_bytes sent;
    std::optional<core::time_point> sent_logged;
};

std::uint64_t bytes_of(const topic_bytes& from, peer::topic about)
{
    const auto n = from.find(about);
    return n == from.end() ? 0 : n->second;
}

topic_bytes subtract(topic_bytes from, const topic_bytes& less)
{
    for (auto& [about, bytes] : from)
        bytes -= bytes_of(less, about);
    return from;
}

std::uint64_t sum(const topic_bytes& of)
{
    std::uint64_t out = 0;
    for (const auto& [about, bytes] : of)
        out += bytes;
    return out;
}

void log_backlog(const link_load& of)
{
    telemetry::log_event(
        telemetry::log_level::warning, "messages wait for a host",
        {{"peer", of.to},
         {"bytes", of.waiting.bytes},
         {"age", of.waiting.age},
         {"sent_rows", bytes_of(of.sent, peer::topic::rows)},
         {"sent_configuration", bytes_of(of.sent, peer::topic::configuration)},
         {"sent_transfers", bytes_of(of.sent, peer::topic::transfers)},
         {"sent_sessions", bytes_of(of.sent, peer::topic::sessions)}});
}

/// Bytes that the system has taken for a link may still wait there, so a
/// large amount is shown even if nothing waits in this process.
void look_at_sent(app& it, link_watch& watch)
{
    auto all = count_sent_bytes(it);
    const auto sent = subtract(all, watch.sent);
    watch.sent = std::move(all);
    const auto now = core::runtime_clock::now();
    if (sum(sent) < logged_bytes ||
        (watch.sent_logged && now - *watch.sent_logged < sent_log_interval))
        return;
    watch.sent_logged = now;
    telemetry::log_event(
        telemetry::log_level::info, "much sent to other hosts",
        {{"bytes", sum(sent)},
         {"rows", bytes_of(sent, peer::topic::rows)},
         {"configuration", bytes_of(sent, peer::topic::configuration)},
         {"transfers", bytes_of(sent, peer::topic::transfers)},
         {"sessions", bytes_of(sent, peer::topic::sessions)}});
}

void look_at_links(app& it)
{
    peer::send_backlog all;
    for (const auto& n : list_link_loads(it))
    {
        all.bytes += n.waiting.bytes;
        all.age = std::max(all.age, n.waiting.age);
        if (n.waiting.age >= logged_delay)
            log_backlog(n);
    }
    telemetry::set_host_backlog(*it.metrics, all.bytes, all.age);
}

void note_loop_delay(app& it, core::duration late)
{
    telemetry::observe_loop_delay(*it.metrics, late);
    if (late >= logged_delay)
        telemetry::log_event(telemetry::log_level::warning,
                             "the event loop is late", {{"by", late}});
}

void keep_looking(app& it, const std::shared_ptr<link_watch>& watch)
{
    look_at_links(it);
    look_at_sent(it, *watch);
    const auto due = core::runtime_clock::now() + look_interval;
    after(it, look_interval,
          [&it, watch, due]
          {
              note_loop_delay(it, core::runtime_clock::now() - due);
              keep_looking(it, watch);
          });
}

}  // namespace
}  // namespace detail

void watch_links(app& it)
{
    if (it.settings.peers)
        detail::keep_looking(it, std::make_shared<detail::link_watch>());
}

}  // namespace godwitbarrow::proxy::pooled
