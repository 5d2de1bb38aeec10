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

/// Whether the log holds what was confirmed in older terms. A paused host may
/// promote a member in a term that is over; nothing is confirmed there then.
bool holds_committed(const world& w, const std::vector<entry>& log,
                     core::term_number term)
{
    const auto end =
        std::find_if(w.committed.begin(), w.committed.end(),
                     [&](const auto& it) { return it.term >= term; });
    const auto n = static_cast<std::size_t>(end - w.committed.begin());
    if (n > log.size())
        return false;
    return std::equal(w.committed.begin(), end, log.begin(),
                      [](const auto& a, const auto& b)
                      { return a.id == b.id; });
}

/// Positions of the members whose log belongs to the term, highest first.
std::vector<core::log_number> positions_in(const world& w,
                                           core::term_number term)
{
    std::vector<core::log_number> it;
    for (const auto& member : w.members)
        if (member.status.log_term == term)
            it.push_back(member.log.size());
    std::sort(it.rbegin(), it.rend());
    return it;
}

void commit(world& w, int p, std::size_t n)
{
    const auto& log = w.members[p].log;
    const auto known = w.committed.size();
    // Logs that agree at one entry agree before it.
    if (known > 0 && log[known - 1].id != w.committed[known - 1].id)
    {
        violate(w, "a confirmed write was replaced by " + describe(w, p));
        return;
    }
    w.committed.insert(w.committed.end(),
                       log.begin() + static_cast<std::ptrdiff_t>(known),
                       log.begin() + static_cast<std::ptrdiff_t>(n));
    auto& mark = w.commits[log[n - 1].term];
    if (mark.first == core::time_point{})
        mark.first = w.now;
    mark.last = w.now;
}

}  // namespace

void violate(world& w, const std::string& rule)
{
    constexpr std::size_t most_violations = 20;
    if (w.violations.size() < most_violations)
        w.violations.push_back(rule);
}

void check_promotion(world& w, int m)
{
    const auto term = w.members[m].status.term;
    const auto [it, first] = w.promoted.emplace(term, m);
    if (!first && it->second != m)
        violate(w, "a second primary of one term: " + describe(w, m));
    if (!holds_committed(w, w.members[m].log, term))
        violate(w, "a promotion lost confirmed writes: " + describe(w, m));
}

void record_commits(world& w)
{
    constexpr std::size_t majority = member_count / 2 + 1;
    for (int p = 0; p < member_count; ++p)
    {
        const auto& it = w.members[p];
        if (it.status.role != core::member_role::primary)
            continue;
        const auto positions = positions_in(w, it.status.term);
        if (positions.size() < majority)
            continue;
        const auto n =
            std::min<std::size_t>(positions[majority - 1], it.log.size());
        if (n > it.base && n > w.committed.size())
            commit(w, p, n);
    }
}

int serving_primary(const world& w)
{
    int found = -1;
    for (int m = 0; m < member_count; ++m)
    {
        const auto& it = w.members[m];
        if (!answers(it) || it.status.role != core::member_role::primary)
            continue;
        if (found >= 0)
            return -1;
        found = m;
    }
    if (found < 0)
        return -1;
    const auto mark = w.commits.find(w.members[found].status.term);
    const bool confirms = mark != w.commits.end() &&
                          w.now < mark->second.last + milliseconds(200);
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
                       [&](const auto& it)
                       { return it.status.log_term == term; });
}

std::string explain(const world& w)
{
    std::ostringstream os;
    os << "seed " << w.how.seed << '\n';
    for (const auto& it : w.violations)
        os << "violation: " << it << '\n';
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
        const auto& it = w.members[m];
        os << server_name(m) << " term " << it.status.term << " log_term "
           << it.status.log_term << " log " << it.log.size() << " follows "
           << it.following << (answers(it) ? "" : " down")
           << (it.status.role == core::member_role::primary ? " primary" : "")
           << '\n';
    }
    for (int h = 0; h < host_count; ++h)
    {
        const auto& it = w.hosts[h];
        os << host_name(h) << " view " << it.state.view.term << " phase "
           << static_cast<int>(it.state.current_phase)
           << (it.state.coordinator ? " coordinator" : "")
           << (it.alive ? "" : " dead") << '\n';
    }
    for (const auto& it : w.steps)
        os << ms(it.at) << " ms host" << it.host << " step "
           << static_cast<int>(it.what.reached) << " term " << it.what.term
           << ' ' << it.what.detail << '\n';
    return os.str();
}

}  // namespace godwitbarrow::failover::sim
