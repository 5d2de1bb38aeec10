#include <algorithm>
#include <sstream>

#include "world.hpp"

namespace godwitbarrow::failover::sim
{
namespace
{

std::string describe(const world& w, int m)
{
    std::ostringstream os;
    os << server_name(m) << " in term " << w.members[m].status.term << " at "
       << std::chrono::duration_cast<milliseconds>(w.now.time_since_epoch())
              .count()
       << " ms";
    return os.str();
}

/// Whether the log contains all writes confirmed in terms before `term`. A
/// paused host may promote a member in a term that has ended; nothing is
/// confirmed in that term afterwards.
bool holds_committed(const world& w, const std::vector<log_entry>& log,
                     core::term_number term)
{
    const auto end =
        std::find_if(w.committed.begin(), w.committed.end(),
                     [&](const auto& entry) { return entry.term >= term; });
    const auto n = static_cast<std::size_t>(end - w.committed.begin());
    if (n > log.size())
        return false;
    return std::equal(w.committed.begin(), end, log.begin(),
                      [](const auto& a, const auto& b)
                      { return a.id == b.id; });
}

/// Log positions of the members whose log term is `term`, in descending order.
std::vector<core::log_number> positions_in(const world& w,
                                           core::term_number term)
{
    std::vector<core::log_number> positions;
    for (const auto& member : w.members)
        if (member.status.log_term == term)
            positions.push_back(member.log.size());
    std::sort(positions.rbegin(), positions.rend());
    return positions;
}

void commit(world& w, int p, std::size_t n)
{
    const auto& log = w.members[p].log;
    const auto known = w.committed.size();
    // Logs that agree at one entry agree before it.
    if (known > 0 && log[known - 1].id != w.committed[known - 1].id)
    {
        record_violation(w,
                         "a confirmed write was replaced by " + describe(w, p));
        return;
    }
    w.committed.insert(w.committed.end(),
                       log.begin() + static_cast<std::ptrdiff_t>(known),
                       log.begin() + static_cast<std::ptrdiff_t>(n));
    auto& times = w.commits[log[n - 1].term];
    if (times.first == core::time_point{})
        times.first = w.now;
    times.last = w.now;
}

}  // namespace

void record_violation(world& w, const std::string& rule)
{
    constexpr std::size_t most_violations = 20;
    if (w.violations.size() < most_violations)
        w.violations.push_back(rule);
}

void check_promotion(world& w, int m)
{
    const auto term = w.members[m].status.term;
    const auto [recorded, first] = w.promoted.emplace(term, m);
    if (!first && recorded->second != m)
        record_violation(w, "a second primary in one term: " + describe(w, m));
    if (!holds_committed(w, w.members[m].log, term))
        record_violation(
            w, "a promotion lost confirmed writes: " + describe(w, m));
}

void record_commits(world& w)
{
    constexpr std::size_t majority = member_count / 2 + 1;
    for (int p = 0; p < member_count; ++p)
    {
        const auto& member = w.members[p];
        if (member.status.role != core::member_role::primary)
            continue;
        const auto positions = positions_in(w, member.status.term);
        if (positions.size() < majority)
            continue;
        const auto n =
            std::min<std::size_t>(positions[majority - 1], member.log.size());
        if (n > member.base && n > w.committed.size())
            commit(w, p, n);
    }
}

int serving_primary(const world& w)
{
    int found = -1;
    for (int m = 0; m < member_count; ++m)
    {
        const auto& member = w.members[m];
        if (!answers(member) ||
            member.status.role != core::member_role::primary)
            continue;
        if (found >= 0)
            return -1;
        found = m;
    }
    if (found < 0)
        return -1;
    const auto times = w.commits.find(w.members[found].status.term);
    const bool confirms = times != w.commits.end() &&
                          w.now < times->second.last + milliseconds(200);
    return confirms ? found : -1;
}

bool settled(const world& w)
{
    const int p = serving_primary(w);
    if (p < 0 || w.store.row.row.primary != server_name(p))
        return false;
    const auto term = w.members[p].status.term;
    for (const auto& host : w.hosts)
        if (host.alive && (host.state.view.primary != server_name(p) ||
                           host.state.view.term != term))
            return false;
    return std::all_of(w.members.begin(), w.members.end(),
                       [&](const auto& member)
                       { return member.status.log_term == term; });
}

std::string explain(const world& w)
{
    std::ostringstream os;
    os << "seed " << w.config.seed << '\n';
    for (const auto& violation : w.violations)
        os << "violation: " << violation << '\n';
    const auto ms = [](core::time_point t)
    {
        return std::chrono::duration_cast<milliseconds>(t.time_since_epoch())
                   .count() -
               3600000;
    };
    os << "now " << ms(w.now) << " ms, row term " << w.store.row.row.term << ' '
       << w.store.row.row.primary.value_or(core::server_id{"none"}) << '\n';
    for (int m = 0; m < member_count; ++m)
    {
        const auto& member = w.members[m];
        os << server_name(m) << " term " << member.status.term << " log_term "
           << member.status.log_term << " log " << member.log.size()
           << " follows " << member.following
           << (answers(member) ? "" : " down")
           << (member.status.role == core::member_role::primary ? " primary"
                                                                : "")
           << '\n';
    }
    for (int h = 0; h < host_count; ++h)
    {
        const auto& host = w.hosts[h];
        os << host_name(h) << " view " << host.state.view.term << " phase "
           << static_cast<int>(host.state.current_phase)
           << (host.state.coordinator ? " coordinator" : "")
           << (host.alive ? "" : " dead") << '\n';
    }
    for (const auto& logged : w.steps)
        os << ms(logged.at) << " ms host" << logged.host << " step "
           << static_cast<int>(logged.progress.reached) << " term "
           << logged.progress.term << ' ' << logged.progress.detail << '\n';
    return os.str();
}

}  // namespace godwitbarrow::failover::sim
