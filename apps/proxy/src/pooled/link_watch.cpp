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

std::uint64_t bytes_of(const link_load& from, peer::topic about)
{
    const auto n = from.sent.find(about);
    return n == from.sent.end() ? 0 : n->second;
}

void log_backlog(const link_load& of)
{
    telemetry::log_event(
        telemetry::log_level::warning, "messages wait for a host",
        {{"peer", of.to},
         {"bytes", of.waiting.bytes},
         {"age", of.waiting.age},
         {"sent_rows", bytes_of(of, peer::topic::rows)},
         {"sent_configuration", bytes_of(of, peer::topic::configuration)},
         {"sent_sessions", bytes_of(of, peer::topic::sessions)}});
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

void keep_looking(app& it)
{
    look_at_links(it);
    const auto due = core::runtime_clock::now() + look_interval;
    after(it, look_interval,
          [&it, due]
          {
              note_loop_delay(it, core::runtime_clock::now() - due);
              keep_looking(it);
          });
}

}  // namespace
}  // namespace detail

void watch_links(app& it)
{
    if (it.settings.peers)
        detail::keep_looking(it);
}

}  // namespace godwitbarrow::proxy::pooled
