#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "godwitbarrow/core/clock.hpp"

/// Decisions about the connections to one backend server.
namespace godwitbarrow::admission
{

using connection_number = std::uint64_t;

struct pool_settings
{
    /// Control connections of other hosts and a new owner's first ones.
    std::size_t reserve = 3;
    std::chrono::milliseconds idle_timeout{std::chrono::seconds(60)};
    /// A connection that was idle for longer is probed before reuse.
    std::chrono::milliseconds probe_after{std::chrono::seconds(5)};
    /// Idle connections kept open beyond the demand, so that a request does
    /// not wait for the 10 ms or 30 ms that a new connection takes.
    std::size_t warm_spares = 2;
    std::chrono::milliseconds open_timeout{std::chrono::seconds(2)};
    std::chrono::milliseconds probe_timeout{500};
};

enum class connection_phase
{
    opening,
    idle,
    probing,
    busy
};

struct connection_state
{
    connection_phase phase = connection_phase::opening;
    /// When the current phase began.
    core::time_point phase_started_at;
    /// When it was last used for a statement, or opened.
    core::time_point last_used_at;
    /// When the backend server last answered on it.
    core::time_point verified_at;
    /// When the attempt to open it began.
    core::time_point open_started_at;
};

struct pool_state
{
    /// Limit of the backend server over all proxies.
    std::size_t connection_limit = 15;
    std::map<connection_number, connection_state> connections;
    /// When a connection last went silent.
    std::optional<core::time_point> silence_detected_at;
    /// Attempts to open that failed in a row, and the end of their back-off.
    unsigned consecutive_open_failures = 0;
    std::optional<core::time_point> open_backoff_until;
};

/// Connections that this owner may use.
std::size_t usable_limit(const pool_state& it, const pool_settings& settings);

std::size_t count_in(const pool_state& it, connection_phase phase);

/// Whether the connection was opened before a silence was noticed and has not
/// answered since.
bool is_suspect(const pool_state& it, const connection_state& connection);

/// Whether the connection must be probed before it carries a statement.
bool needs_probe(const pool_state& it, const connection_state& connection,
                 const pool_settings& settings, core::time_point now);

/// The most recently used idle connection that needs no probe.
std::optional<connection_number> pick_idle(const pool_state& it,
                                           const pool_settings& settings,
                                           core::time_point now);

/// Idle connections that should be probed now.
std::vector<connection_number> connections_to_probe(
    const pool_state& it, const pool_settings& settings, core::time_point now);

/// Idle connections past the idle limit, and attempts to open or to probe
/// that have timed out.
std::vector<connection_number> connections_to_close(
    const pool_state& it, const pool_settings& settings, core::time_point now);

/// How many connections to open for `waiting` requests plus the warm spares.
std::size_t connections_to_open(const pool_state& it,
                                const pool_settings& settings,
                                std::size_t waiting, core::time_point now);

/// When `connections_to_probe` or `connections_to_close` will next have
/// something to report.
std::optional<core::time_point> next_deadline(const pool_state& it,
                                              const pool_settings& settings);

}  // namespace godwitbarrow::admission
