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
constexpr seconds max_gap{60};

std::int64_t in_ms(core::duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

/// Time at which `host`, which made the last promotion, last reached a step, no
/// later than `until`.
core::time_point last_step(const world& w, int host, step kind,
                           core::time_point until)
{
    core::time_point found;
    for (const auto& logged : w.steps)
        if (logged.host == host && logged.progress.reached == kind &&
            logged.at <= until)
            found = logged.at;
    return found;
}

gap split_gap(const world& w, core::time_point last_old,
              core::time_point first_new)
{
    const auto end =
        std::find_if(w.steps.rbegin(), w.steps.rend(),
                     [](const auto& logged)
                     { return logged.progress.reached == step::promoted; });
    const auto promoted = end->at;
    const auto step_time = [&](step kind)
    {
        return last_step(w, end->host, kind, promoted);
    };
    gap result;
    result.detection = step_time(step::suspected) - last_old;
    result.confirmation =
        step_time(step::confirmed) - step_time(step::suspected);
    result.claiming = step_time(step::claimed) - step_time(step::confirmed);
    result.fencing = step_time(step::fenced) - step_time(step::claimed);
    result.choice = step_time(step::chosen) - step_time(step::fenced);
    result.promotion = promoted - step_time(step::chosen);
    result.first_write = first_new - promoted;
    result.total = first_new - last_old;
    return result;
}

void inject_primary_fault(world& w, primary_fault fault)
{
    if (fault == primary_fault::partitioned)
        partition_member(w, 0);
    else
        kill_member(w, 0, fault == primary_fault::silent);
}

core::duration percentile(std::vector<core::duration> all, double share)
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
    for (const auto& sample : all)
        values.push_back(sample.*part);
    return percentile(values, 0.5);
}

gap medians(const std::vector<gap>& all)
{
    gap result;
    for (const auto part :
         {&gap::detection, &gap::confirmation, &gap::claiming, &gap::fencing,
          &gap::choice, &gap::promotion, &gap::first_write, &gap::total})
        result.*part = median_of(all, part);
    return result;
}

}  // namespace

std::vector<deployment> deployments()
{
    return {{"consortium", microseconds(1000), microseconds(12000)},
            {"dar_el_kalima", microseconds(1500), microseconds(8000)}};
}

std::string to_string(primary_fault fault)
{
    switch (fault)
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

gap measure_gap(const simulation_config& config, primary_fault fault)
{
    auto w = make_world(config);
    run_for(*w, warm_up + milliseconds(random_below(*w, 2000)));
    inject_primary_fault(*w, fault);
    const auto served = [&]
    {
        return w->commits.rbegin()->first > 1;
    };
    if (!run_until(*w, max_gap, served) || !w->violations.empty())
    {
        gap result;
        result.failed = true;
        return result;
    }
    return split_gap(*w, w->commits[1].last, w->commits.rbegin()->second.first);
}

gap_row measure_row(const deployment& where, primary_fault fault,
                    milliseconds store_delay, std::size_t runs,
                    std::uint64_t seed)
{
    gap_row row{where, fault, store_delay, runs, 0, {}, {}, {}};
    std::vector<gap> all;
    for (std::size_t i = 0; i < runs; ++i)
    {
        simulation_config config;
        config.seed = seed + i;
        config.between_centres = where.between_centres;
        config.between_regions = where.between_regions;
        config.store_delay = store_delay;
        // A silent primary is detected by its missing statuses alone, as in a
        // group without traffic.
        config.data_path_reports = fault != primary_fault::silent;
        const auto result = measure_gap(config, fault);
        if (result.failed)
            ++row.failed;
        else
            all.push_back(result);
    }
    if (all.empty())
        return row;
    std::vector<core::duration> totals;
    totals.reserve(all.size());
    for (const auto& result : all)
        totals.push_back(result.total);
    row.median = medians(all);
    row.p99 = percentile(totals, 0.99);
    row.longest = percentile(totals, 1.0);
    return row;
}

std::string format_rows(const std::vector<gap_row>& rows, std::uint64_t seed)
{
    std::ostringstream os;
    os << "service gap on the virtual clock, in ms; seeds from " << seed
       << "; parts and total are medians\n"
       << std::left << std::setw(15) << "deployment" << std::setw(13)
       << "primary" << std::right;
    for (const auto* heading :
         {"store_call", "runs", "failed", "detect", "confirm", "claim", "fence",
          "choose", "promote", "write", "total", "p99", "max"})
        os << std::setw(11) << heading;
    os << '\n';
    for (const auto& row : rows)
    {
        os << std::left << std::setw(15) << row.where.name << std::setw(13)
           << to_string(row.fault) << std::right << std::setw(11)
           << row.store_delay.count() << std::setw(11) << row.runs
           << std::setw(11) << row.failed;
        for (const auto part :
             {row.median.detection, row.median.confirmation,
              row.median.claiming, row.median.fencing, row.median.choice,
              row.median.promotion, row.median.first_write, row.median.total,
              row.p99, row.longest})
            os << std::setw(11) << in_ms(part);
        os << '\n';
    }
    return os.str();
}

}  // namespace godwitbarrow::failover::sim
