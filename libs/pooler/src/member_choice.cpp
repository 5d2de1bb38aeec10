#include "member_choice.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "connections.hpp"
#include "freshness.hpp"
#include "primary_evidence.hpp"

namespace godwitbarrow::pooler::detail
{
namespace
{

bool is_skipped(const member& m, const pending_statement& p,
                const pooler_settings& settings, core::time_point now)
{
    if (m.record.leaving || p.excluded.count(m.record.server) > 0)
        return true;
    if (m.lagging_until && *m.lagging_until > now)
        return true;
    return m.failed_at && now - *m.failed_at < settings.failed_back_off;
}

/// Least time that a connection to a member of the group took.
std::optional<core::duration> fastest_open(const group& g)
{
    std::optional<core::duration> out;
    for (const auto& [id, m] : g.members)
        if (m.fastest_open && (!out || *m.fastest_open < *out))
            out = m.fastest_open;
    return out;
}

/// Time for the network beyond that to the nearest member of the group; at
/// equal distance the local data centre is preferred. A remote member that was
/// never connected to comes first once, to find out its distance, unless a
/// replica of the local data centre can serve.
core::duration network_time(const context& ctx, const member& m,
                            std::optional<core::duration> fastest,
                            bool has_local)
{
    const auto& settings = ctx.pooler.settings;
    const bool local = m.record.data_centre == settings.data_centre;
    if (m.fastest_open && fastest)
    {
        const auto beyond =
            std::max(*m.fastest_open - *fastest, core::duration{});
        return local
                   ? beyond
                   : std::max<core::duration>(beyond, settings.load.resolution);
    }
    const bool unknown = m.failed_opens == 0 && (local || !has_local);
    return unknown ? core::duration{} : settings.unknown_network_time;
}

bool has_local_replica(const context& ctx, const group& g)
{
    return std::any_of(g.members.begin(), g.members.end(),
                       [&](const auto& n)
                       {
                           return g.primary != n.first &&
                                  n.second.record.data_centre ==
                                      ctx.pooler.settings.data_centre;
                       });
}

/// The members that may run a read of bounded age. The primary is kept free,
/// because only it can run writes.
std::vector<routing::load_candidate> load_candidates(const context& ctx,
                                                     const group& g,
                                                     const pending_statement& p)
{
    std::vector<routing::load_candidate> out;
    const auto fastest = fastest_open(g);
    const bool has_local = has_local_replica(ctx, g);
    for (const auto& [id, m] : g.members)
    {
        if (is_skipped(m, p, ctx.pooler.settings, ctx.now))
            continue;
        out.push_back({id, m.load, m.running, m.record.slots,
                       network_time(ctx, m, fastest, has_local),
                       g.primary == id});
    }
    return out;
}

/// Returns the members that may run a read of bounded age, those on which it
/// ends soonest first. Hosts order equal members differently, so that the reads
/// of all hosts spread over them while each host uses few connections.
std::vector<core::server_id> read_candidates(const context& ctx, const group& g,
                                             const pending_statement& p)
{
    using rating = std::tuple<core::duration, std::uint64_t, core::server_id>;
    const auto members = load_candidates(ctx, g, p);
    const auto& settings = ctx.pooler.settings;
    const auto times =
        routing::expected_times(members, settings.load, settings.host, ctx.now);
    std::vector<rating> rated;
    for (std::size_t n = 0; n < members.size(); ++n)
        rated.emplace_back(times[n], g.members.at(members[n].server).preference,
                           members[n].server);
    std::sort(rated.begin(), rated.end());
    std::vector<core::server_id> out;
    out.reserve(rated.size());
    for (auto& it : rated)
        out.push_back(std::move(std::get<core::server_id>(it)));
    return out;
}

std::vector<core::server_id> candidates(const context& ctx, const group& g,
                                        const caller_session& s)
{
    if (!s.current->primary_only &&
        required_position(g, s, ctx.pooler.settings))
        if (auto reads = read_candidates(ctx, g, *s.current); !reads.empty())
            return reads;
    const auto primary = primary_candidate(g, ctx.pooler.settings, ctx.now);
    if (!primary)
        return {};
    // While no primary is known, the candidate is a guess. A replica that
    // refused this read as lagging would refuse it again.
    if (!s.current->primary_only && primary != g.primary &&
        s.current->excluded.count(*primary) > 0)
        return {};
    return {*primary};
}

/// Whether the member may be given one more statement of this host now.
bool has_room(const context& ctx, const member& m)
{
    return m.running < running_limit(ctx.pooler, m) &&
           !(m.busy_until && *m.busy_until > ctx.now);
}

}  // namespace

assignment_search find_assignment(const context& ctx, const group& g,
                                  const caller_session& s)
{
    assignment_search out;
    const bool primary_only = s.current->primary_only ||
                              !required_position(g, s, ctx.pooler.settings);
    for (const auto& id : candidates(ctx, g, s))
    {
        const auto& m = g.members.at(id);
        if (primary_only)
            out.primary = id;
        if ((primary_only && !is_confirmed(ctx, g, id)) || !has_room(ctx, m))
            continue;
        if (const auto number = pick_idle(ctx.pooler, m, s); number != 0)
        {
            out.found = assignment{id, number};
            return out;
        }
        out.unconnected.push_back(id);
    }
    return out;
}

}  // namespace godwitbarrow::pooler::detail
