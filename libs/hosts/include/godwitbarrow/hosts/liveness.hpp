#pragma once

#include <map>
#include <optional>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/hosts/host.hpp"
#include "godwitbarrow/hosts/messages.hpp"
#include "godwitbarrow/hosts/table_copy.hpp"

/// Which hosts live: those that were heard of lately. Hosts hear each other's
/// heartbeats, pass on when they heard whom, and see rows of hosts change.
namespace godwitbarrow::hosts
{

struct liveness_settings
{
    core::host_id self;
    core::data_centre_id data_centre;
    /// A host of which there was no sign for this long is dead.
    std::chrono::milliseconds dead_after{9500};
    /// After this long without a sign of any host of a data centre, hosts write
    /// their rows again, as links to it may be cut while the store is reached.
    std::chrono::milliseconds apart_after{5000};
};

struct known_host
{
    /// Absent if its row names no address for links.
    std::optional<peer_host> row;
    std::uint64_t row_version = 0;
    /// When a row was first seen. It says nothing of when it was written.
    std::optional<core::time_point> found;
    std::optional<core::time_point> heard;
    /// As of the newest sign.
    bool leaving = false;
};

struct liveness
{
    std::map<core::host_id, known_host> hosts;
    bool rows_read = false;
    /// Era of the store at the last read.
    std::uint64_t era = 0;
};

/// The host was heard itself.
void note_heard(liveness& it, const core::host_id& host, bool leaving,
                core::time_point now);

/// Another host told when it heard of others.
void note_signs(liveness& it, const std::vector<host_sign>& signs,
                core::time_point now);

/// Takes the table of hosts. A row that changed since the last time shows that
/// its host lived when the read began, unless the store was restored from a
/// copy since.
void note_rows(liveness& it, const table_copy& rows, core::time_point now);

bool is_live(const known_host& it, const liveness_settings& settings,
             core::time_point now);

/// The live hosts, with this one.
std::size_t count_live(const liveness& it, const liveness_settings& settings,
                       core::time_point now);

/// The other live hosts whose addresses are known.
std::vector<peer_host> live_hosts(const liveness& it,
                                  const liveness_settings& settings,
                                  core::time_point now);

/// Signs of hosts to pass on; those of the own data centre only if `own_only`.
std::vector<host_sign> signs_of(const liveness& it,
                                const liveness_settings& settings,
                                bool own_only, core::time_point now);

/// Whether all hosts of some data centre have been silent for so long that only
/// the store may still tell that they live.
bool is_apart(const liveness& it, const liveness_settings& settings,
              core::time_point now);

/// Whether the table lacks the row of this host although it was read after the
/// row was written.
bool lost_row(const table_copy& rows, const core::host_id& self,
              core::time_point written);

}  // namespace godwitbarrow::hosts
