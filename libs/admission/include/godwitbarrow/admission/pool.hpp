#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "godwitbarrow/core/clock.hpp"

/// Connection pool of one backend server. The functions decide which
/// connections to use, probe, open and close; the caller performs the I/O.
namespace godwitbarrow::admission
{

using connection_number = std::uint64_t;

struct pool_settings
{
    /// Connections left for the control connections of other hosts and for the
    /// first connections of a new owner.
    std::size_t reserved_connections = 3;
    std::chrono::milliseconds idle_timeout{std::chrono::seconds(60)};
    /// A connection that was idle for longer than this is probed before reuse.
    std::chrono::milliseconds probe_after{std::chrono::seconds(5)};
    /// Number of idle connections kept open beyond the demand, so that a
    /// request does not wait for the 10 ms or 30 ms that opening a connection
    /// takes.
    std::size_t spare_connections = 2;
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
    /// When the connection last carried a statement or, if none yet, was
    /// opened.
    core::time_point last_used_at;
    /// When the backend server last answered on this connection.
    core::time_point verified_at;
    /// When the attempt to open this connection began.
    core::time_point open_started_at;
};

struct pool_state
{
    /// Connection limit of the backend server, shared by all proxies.
    std::size_t connection_limit = 15;
    std::map<connection_number, connection_state> connections;
    /// When a connection was last found to have stopped answering.
    std::optional<core::time_point> silence_detected_at;
    /// Consecutive failed attempts to open, and the end of the resulting
    /// back-off.
    unsigned consecutive_open_failures = 0;
    std::optional<core::time_point> open_backoff_until;
};

/// Number of connections that this owner may use.
std::size_t usable_limit(const pool_state& pool, const pool_settings& settings);

std::size_t count_in_phase(const pool_state& pool, connection_phase phase);

/// Returns whether the connection was opened before another one was found to
/// have stopped answering and has not answered since then.
bool is_suspect(const pool_state& pool, const connection_state& connection);

/// Returns whether the connection must be probed before it carries a statement.
bool needs_probe(const pool_state& pool, const connection_state& connection,
                 const pool_settings& settings, core::time_point now);

/// Returns the most recently used idle connection that needs no probe.
std::optional<connection_number> pick_idle(const pool_state& pool,
                                           const pool_settings& settings,
                                           core::time_point now);

/// Returns the idle connections that should be probed now.
std::vector<connection_number> connections_to_probe(
    const pool_state& pool, const pool_settings& settings,
    core::time_point now);

/// Returns the idle connections past the idle timeout, and the connections
/// whose opening or probe has timed out.
std::vector<connection_number> connections_to_close(
    const pool_state& pool, const pool_settings& settings,
    core::time_point now);

/// Returns how many connections to open for `waiting` requests and the spare
/// connections.
std::size_t connections_to_open(const pool_state& pool,
                                const pool_settings& settings,
                                std::size_t waiting, core::time_point now);

/// Returns the next time at which `connections_to_probe` or
/// `connections_to_close` has a connection to return.
std::optional<core::time_point> next_deadline(const pool_state& pool,
                                              const pool_settings& settings);

}  // namespace godwitbarrow::admission
