#include "godwitbarrow/admission/pool.hpp"

#include <algorithm>

namespace godwitbarrow::admission
{
namespace detail
{
namespace
{

core::time_point close_at(const connection_state& it,
                          const pool_settings& settings)
{
    switch (it.phase)
    {
        case connection_phase::opening:
            return it.phase_started_at + settings.open_timeout;
        case connection_phase::probing:
            return it.phase_started_at + settings.probe_timeout;
        case connection_phase::idle:
            return it.last_used_at + settings.idle_timeout;
        case connection_phase::busy:
            break;
    }
    return core::time_point::max();
}

/// Proof that goes stale is renewed before a request needs the connection.
core::time_point probe_at(const pool_state& it,
                          const connection_state& connection,
                          const pool_settings& settings)
{
    if (connection.phase != connection_phase::idle)
        return core::time_point::max();
    if (is_suspect(it, connection))
        return *it.silence_detected_at;
    return connection.verified_at + settings.probe_after;
}

std::size_t count_usable(const pool_state& it, const pool_settings& settings,
                         core::time_point now)
{
    return static_cast<std::size_t>(
        std::count_if(it.connections.begin(), it.connections.end(),
                      [&](const auto& entry)
                      {
                          return entry.second.phase == connection_phase::idle &&
                                 !needs_probe(it, entry.second, settings, now);
                      }));
}

/// Idle connections that may turn out to work after a probe.
std::size_t count_probed(const pool_state& it)
{
    return static_cast<std::size_t>(std::count_if(
        it.connections.begin(), it.connections.end(),
        [&](const auto& entry)
        {
            return entry.second.phase == connection_phase::probing &&
                   !is_suspect(it, entry.second);
        }));
}

}  // namespace
}  // namespace detail

bool is_suspect(const pool_state& it, const connection_state& connection)
{
    return it.silence_detected_at &&
           connection.open_started_at < *it.silence_detected_at &&
           connection.verified_at < *it.silence_detected_at;
}

std::size_t usable_limit(const pool_state& it, const pool_settings& settings)
{
    return it.connection_limit > settings.reserve
               ? it.connection_limit - settings.reserve
               : std::size_t{1};
}

std::size_t count_in(const pool_state& it, connection_phase phase)
{
    return static_cast<std::size_t>(std::count_if(
        it.connections.begin(), it.connections.end(),
        [&](const auto& entry) { return entry.second.phase == phase; }));
}

bool needs_probe(const pool_state& it, const connection_state& connection,
                 const pool_settings& settings, core::time_point now)
{
    return is_suspect(it, connection) ||
           now >= connection.verified_at + settings.probe_after;
}

std::optional<connection_number> pick_idle(const pool_state& it,
                                           const pool_settings& settings,
                                           core::time_point now)
{
    std::optional<connection_number> best;
    core::time_point last_used_at;
    for (const auto& [number, connection] : it.connections)
    {
        if (connection.phase != connection_phase::idle ||
            needs_probe(it, connection, settings, now) ||
            now >= detail::close_at(connection, settings))
            continue;
        if (best && connection.last_used_at <= last_used_at)
            continue;
        best = number;
        last_used_at = connection.last_used_at;
    }
    return best;
}

std::vector<connection_number> connections_to_probe(
    const pool_state& it, const pool_settings& settings, core::time_point now)
{
    std::vector<connection_number> numbers;
    for (const auto& [number, connection] : it.connections)
        if (detail::probe_at(it, connection, settings) <= now &&
            now < detail::close_at(connection, settings))
            numbers.push_back(number);
    return numbers;
}

std::vector<connection_number> connections_to_close(
    const pool_state& it, const pool_settings& settings, core::time_point now)
{
    std::vector<connection_number> numbers;
    for (const auto& [number, connection] : it.connections)
        if (detail::close_at(connection, settings) <= now)
            numbers.push_back(number);
    return numbers;
}

std::size_t connections_to_open(const pool_state& it,
                                const pool_settings& settings,
                                std::size_t waiting, core::time_point now)
{
    if (it.open_backoff_until && now < *it.open_backoff_until)
        return 0;
    const auto limit = usable_limit(it, settings);
    const auto coming = detail::count_usable(it, settings, now) +
                        detail::count_probed(it) +
                        count_in(it, connection_phase::opening);
    const auto wanted = waiting + settings.warm_spares;
    if (wanted <= coming || it.connections.size() >= limit)
        return 0;
    return std::min(wanted - coming, limit - it.connections.size());
}

std::optional<core::time_point> next_deadline(const pool_state& it,
                                              const pool_settings& settings)
{
    auto due = it.open_backoff_until.value_or(core::time_point::max());
    for (const auto& [number, connection] : it.connections)
        due = std::min({due, detail::close_at(connection, settings),
                        detail::probe_at(it, connection, settings)});
    if (due == core::time_point::max())
        return std::nullopt;
    return due;
}

}  // namespace godwitbarrow::admission
