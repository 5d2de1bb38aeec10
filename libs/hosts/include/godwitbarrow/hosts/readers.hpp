#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/hosts/host.hpp"

/// Which hosts read the store, and which get its rows from whom.
namespace godwitbarrow::hosts
{

/// Readers of a data centre; all of its hosts where there are no more.
constexpr std::size_t readers_per_data_centre = 2;

struct reader_settings
{
    peer_host self;
    /// A reader that says nothing for this long is not relied on.
    std::chrono::milliseconds silence{2500};
    /// How long one that did not answer is passed over.
    std::chrono::milliseconds avoided{10000};
    /// A host whose readers get no answers of the store reads for itself after
    /// this long: most often one of them gets the next answer.
    std::chrono::milliseconds unserved{500};
    /// A host that began to read for itself goes on for this long after its
    /// readers are back.
    std::chrono::milliseconds settled{3000};
};

/// What this host knows of one that it relies on.
struct followed_host
{
    /// Since when it is relied on.
    core::time_point since;
    std::optional<core::time_point> heard;
    bool reads_store = false;
};

struct reader_state
{
    std::map<core::host_id, followed_host> followed;
    std::map<core::host_id, core::time_point> avoided_until;
    /// Since when a reader is heard that reads the store.
    std::optional<core::time_point> served_since;
    /// Since when there is none.
    std::optional<core::time_point> unserved_since;
    /// Whether there has been one since the start.
    bool served_once = false;
    bool reading = false;
};

/// The readers of a data centre in their order, the same on all hosts that see
/// the same hosts.
std::vector<core::host_id> readers_of(const core::data_centre_id& data_centre,
                                      const std::vector<peer_host>& live);

/// Notes the heartbeat of a host.
void note_status(reader_state& it, const core::host_id& from, bool reads_store,
                 core::time_point now);

struct reader_role
{
    /// This host reads the store.
    bool reading = true;
    /// It is one of the readers of its data centre.
    bool appointed = true;
    /// It asks the hosts that it is linked to for rows.
    bool wants_rows = false;
    /// Hosts to keep links to: the readers of the own data centre, and from the
    /// first reader of a data centre to those of the others.
    std::set<core::host_id> links;
};

/// Decides anew. `answered` tells whether the store answered the last calls of
/// this host, if it made any.
reader_role choose_role(reader_state& it, const reader_settings& settings,
                        std::vector<peer_host> live, bool answered,
                        core::time_point now);

}  // namespace godwitbarrow::hosts
