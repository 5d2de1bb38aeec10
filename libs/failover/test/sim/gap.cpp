#include "gap.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace godwitbarrow::failover::sim
{
namespace
{

using step = report_progress::step;
using std::chrono::seconds;

constexpr seconds warm_up{3};
constexpr seconds longest_gap{60};

std::int64_t in_ms(core::duration it)
{
    return std::chrono::duration_cast<milliseconds>(it).count();
}

/// When the host that promoted last took a step, the last time before `until`.
core::time_point last_step(const world& w, int host, step what,
                           core::time_point until)
{
    core::time_point found;
    for (const auto& it : w.steps)
        if (it.host == host && it.what.reached == what && it.at <= until)
            found = it.at;
    return found;
}

gap split(const world& w, core::time_point last_old, core::time_point first_new)
{
    const auto end = std::find_if(
        w.steps.rbegin(), w.steps.rend(),
        [](const auto& it) { return it.what.reached == step::promoted; });
    const auto promoted = end->at;
    const auto when = [&](step what)
    {
        return last_step(w, end->host, what, promoted);
    };
    gap it;
    it.detection = when(step::suspected) - last_old;
    it.confirmation = when(step::confirmed) - when(step::suspected);
    it.claiming = when(step::claimed) - when(step::confirmed);
    it.fencing = when(step::fenced) - when(step::claimed);
    it.choice = when(step::chosen) - when(step::fenced);
    it.promotion = promoted - when(step::chosen);
    it.first_write = first_new - promoted;
    it.total = first_new - last_old;
    return it;
}

void break_primary(world& w, primary_fault fault)
{
    if (fault == primary_fault::partitioned)
        partition_member(w, 0);
    else
        kill_member(w, 0, fault == primary_fault::silent);
}

core::duration at_share(std::vector<core::duration> all, double share)
{
    std::sort(all.begin(), all.end());
    const auto n = static_cast<std::size_t>(
        share * static_cast<double>(all.size()) + 0.999999);
    return all[std::clamp<std::size_t>(n, 1, all.size()) - 1];
}

core::duration median_of(const std::vector<gap>& all, core::duration gap::*part)
{
    std::vector<core::duration> values;
    values.reserve(all.size());
    for (const auto& it : all)
        values.push_back(it.*part);
    return at_share(values, 0.5);
}

gap medians(const std::vector<gap>& all)
{
    gap it;
    for (const auto part :
         {&gap::detection, &gap::confirmation, &gap::claiming, &gap::fencing,
          &gap::choice, &gap::promotion, &gap::first_write, &gap::total})
        it.*part = median_of(all, part);
    return it;
}

}  // namespace

std::vector<deployment> deployments()
{
    return {{"consortium", microseconds(1000), microseconds(12000)},
            {"dar_el_kalima", microseconds(1500), microseconds(8000)}};
}

std::string to_string(primary_fault it)
{
    switch (it)
    {
        case primary_fault::killed:
            return "killed";
        case primary_fault::silent:
            return "silent";
        case primary_fault::partitioned:
            return "partitioned";
    }
    return "unknown";
}

gap measure_gap(const conditions& how, primary_fault fault)
{
    auto w = make_world(how);
    run_for(*w, warm_up + milliseconds(draw(*w, 2000)));
    break_primary(*w, fault);
    const auto served = [&]
    {
        return w->commits.rbegin()->first > 1;
    };
    if (!run_until(*w, longest_gap, served) || !w->violations.empty())
    {
        gap it;
        it.failed = true;
        return it;
    }
    return split(*w, w->commits[1].last, w->commits.rbegin()->second.first);
}

gap_row measure_row(const deployment& where, primary_fault fault,
                    milliseconds store_delay, std::size_t runs,
                    std::uint64_t seed)
{
    gap_row row{where, fault, store_delay, runs, 0, {}, {}, {}};
    std::vector<gap> all;
    for (std::size_t i = 0; i < runs; ++i)
    {
        conditions how;
        how.seed = seed + i;
        how.between_centres = where.between_centres;
        how.between_regions = where.between_regions;
        how.store_delay = store_delay;
        // The silent primary is found by its statuses alone, as in a group
        // without traffic.
        how.data_path_reports = fault != primary_fault::silent;
        const auto it = measure_gap(how, fault);
        if (it.failed)
            ++row.failed;
        else
            all.push_back(it);
    }
    if (all.empty())
        return row;
    std::vector<core::duration> totals;
    totals.reserve(all.size());
    for (const auto& it : all)
        totals.push_back(it.total);
    row.median = medians(all);
    row.p99 = at_share(totals, 0.99);
    row.longest = at_share(totals, 1.0);
    return row;
}

std::string format_rows(const std::vector<gap_row>& rows, std::uint64_t seed)
{
    std::ostringstream os;
    os << "service gap on the virtual clock, in ms; seeds from " << seed
       << "; parts and total are medians\n"
       << std::left << std::setw(15) << "deployment" << std::setw(13)
       << "primary" << std::right;
    for (const auto* it :
         {"store_call", "runs", "failed", "detect", "confirm", "claim", "fence",
          "choose", "promote", "write", "total", "p99", "max"})
        os << std::setw(11) << it;
    os << '\n';
    for (const auto& it : rows)
    {
        os << std::left << std::setw(15) << it.where.name << std::setw(13)
           << to_string(it.fault) << std::right << std::setw(11)
           << it.store_delay.count() << std::setw(11) << it.runs
           << std::setw(11) << it.failed;
        for (const auto part :
             {it.median.detection, it.median.confirmation, it.median.claiming,
              it.median.fencing, it.median.choice, it.median.promotion,
              it.median.first_write, it.median.total, it.p99, it.longest})
            os << std::setw(11) << in_ms(part);
        os << '\n';
    }
    return os.str();
}

}  // namespace godwitbarrow::failover::sim
