#include "godwitbarrow/admission/pool.hpp"

#include <algorithm>

namespace godwitbarrow::admission
{
namespace detail
{
namespace
{

core::time_point close_time(const connection_state& connection,
                            const pool_settings& settings)
{
    switch (connection.phase)
    {
        case connection_phase::opening:
            return connection.phase_started_at + settings.open_timeout;
        case connection_phase::probing:
            return connection.phase_started_at + settings.probe_timeout;
        case connection_phase::idle:
            return connection.last_used_at + settings.idle_timeout;
        case connection_phase::busy:
            break;
    }
    return core::time_point::max();
}

/// Idle connections are probed before their last answer is too old, so that a
/// request finds them usable.
core::time_point probe_time(const pool_state& pool,
                            const connection_state& connection,
                            const pool_settings& settings)
{
    if (connection.phase != connection_phase::idle)
        return core::time_point::max();
    if (is_suspect(pool, connection))
        return *pool.silence_detected_at;
    return connection.verified_at + settings.probe_after;
}

std::size_t count_usable(const pool_state& pool, const pool_settings& settings,
                         core::time_point now)
{
    return static_cast<std::size_t>(std::count_if(
        pool.connections.begin(), pool.connections.end(),
        [&](const auto& entry)
        {
            return entry.second.phase == connection_phase::idle &&
                   !needs_probe(pool, entry.second, settings, now);
        }));
}

/// Counts the connections that are being probed and are not suspect, which may
/// become usable.
std::size_t count_probing(const pool_state& pool)
{
    return static_cast<std::size_t>(std::count_if(
        pool.connections.begin(), pool.connections.end(),
        [&](const auto& entry)
        {
            return entry.second.phase == connection_phase::probing &&
                   !is_suspect(pool, entry.second);
        }));
}

}  // namespace
}  // namespace detail

bool is_suspect(const pool_state& pool, const connection_state& connection)
{
    return pool.silence_detected_at &&
           connection.open_started_at < *pool.silence_detected_at &&
           connection.verified_at < *pool.silence_detected_at;
}

std::size_t usable_limit(const pool_state& pool, const pool_settings& settings)
{
    return pool.connection_limit > settings.reserved_connections
               ? pool.connection_limit - settings.reserved_connections
               : std::size_t{1};
}

std::size_t count_in_phase(const pool_state& pool, connection_phase phase)
{
    return static_cast<std::size_t>(std::count_if(
        pool.connections.begin(), pool.connections.end(),
        [&](const auto& entry) { return entry.second.phase == phase; }));
}

bool needs_probe(const pool_state& pool, const connection_state& connection,
                 const pool_settings& settings, core::time_point now)
{
    return is_suspect(pool, connection) ||
           now >= connection.verified_at + settings.probe_after;
}

std::optional<connection_number> pick_idle(const pool_state& pool,
                                           const pool_settings& settings,
                                           core::time_point now)
{
    std::optional<connection_number> best;
    core::time_point last_used_at;
    for (const auto& [number, connection] : pool.connections)
    {
        if (connection.phase != connection_phase::idle ||
            needs_probe(pool, connection, settings, now) ||
            now >= detail::close_time(connection, settings))
            continue;
        if (best && connection.last_used_at <= last_used_at)
            continue;
        best = number;
        last_used_at = connection.last_used_at;
    }
    return best;
}

std::vector<connection_number> connections_to_probe(
    const pool_state& pool, const pool_settings& settings, core::time_point now)
{
    std::vector<connection_number> numbers;
    for (const auto& [number, connection] : pool.connections)
        if (detail::probe_time(pool, connection, settings) <= now &&
            now < detail::close_time(connection, settings))
            numbers.push_back(number);
    return numbers;
}

std::vector<connection_number> connections_to_close(
    const pool_state& pool, const pool_settings& settings, core::time_point now)
{
    std::vector<connection_number> numbers;
    for (const auto& [number, connection] : pool.connections)
        if (detail::close_time(connection, settings) <= now)
            numbers.push_back(number);
    return numbers;
}

std::size_t connections_to_open(const pool_state& pool,
                                const pool_settings& settings,
                                std::size_t waiting, core::time_point now)
{
    if (pool.open_backoff_until && now < *pool.open_backoff_until)
        return 0;
    const auto limit = usable_limit(pool, settings);
    const auto available = detail::count_usable(pool, settings, now) +
                           detail::count_probing(pool) +
                           count_in_phase(pool, connection_phase::opening);
    const auto required = waiting + settings.spare_connections;
    if (required <= available || pool.connections.size() >= limit)
        return 0;
    return std::min(required - available, limit - pool.connections.size());
}

std::optional<core::time_point> next_deadline(const pool_state& pool,
                                              const pool_settings& settings)
{
    auto deadline = pool.open_backoff_until.value_or(core::time_point::max());
    for (const auto& [number, connection] : pool.connections)
        deadline = std::min({deadline, detail::close_time(connection, settings),
                             detail::probe_time(pool, connection, settings)});
    if (deadline == core::time_point::max())
        return std::nullopt;
    return deadline;
}

}  // namespace godwitbarrow::admission
