#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iomanip>
#include <sstream>

#include "godwitbarrow/settings/units.hpp"
#include "godwitbarrow/tool/burn.hpp"

namespace godwitbarrow::tool
{
namespace detail
{
namespace
{

namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::string format_time(core::duration it)
{
    return settings::format_duration(duration_cast<milliseconds>(it));
}

std::string format_burn(const telemetry::window_rate& it)
{
    if (!it.burn)
        return "-";
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << *it.burn;
    return out.str();
}

std::string format_goal(const telemetry::objective& it)
{
    return settings::format_number(it.target * 100) + "% in " +
           settings::format_duration(it.latency);
}

void write_row(std::ostream& out, const std::vector<std::string>& cells)
{
    constexpr std::array<int, 9> widths{13, 17, 8, 9, 10, 8, 8, 11, 0};
    for (std::size_t n = 0; n < cells.size(); ++n)
        out << std::left << std::setw(widths[n]) << cells[n];
    out << '\n';
}

void write_window(std::ostream& out, const std::string& rank,
                  const std::string& goal, const telemetry::window_rate& it,
                  const telemetry::window_pair& pair, bool burning)
{
    write_row(
        out, {rank, goal, format_time(it.window), format_time(it.covered),
              std::to_string(it.total), std::to_string(it.bad), format_burn(it),
              settings::format_number(pair.threshold), burning ? "yes" : "no"});
}

void write_rank(std::ostream& out, const telemetry::rank_burn& it,
                const telemetry::objective& goal)
{
    const std::string name(core::to_string(it.importance));
    for (std::size_t n = 0; n < it.pairs.size(); ++n)
    {
        const auto& pair = it.pairs[n];
        const auto& windows = telemetry::window_pairs[n];
        write_window(out, name, format_goal(goal), pair.short_rate, windows,
                     pair.burning);
        write_window(out, name, format_goal(goal), pair.long_rate, windows,
                     pair.burning);
    }
}

json::object describe_window(const telemetry::window_rate& it)
{
    return {{"window_ms", duration_cast<milliseconds>(it.window).count()},
            {"covered_ms", duration_cast<milliseconds>(it.covered).count()},
            {"requests", it.total},
            {"bad", it.bad},
            {"burn", it.burn ? json::value(*it.burn) : json::value()}};
}

json::object describe_rank(const telemetry::rank_burn& it,
                           const telemetry::objective& goal)
{
    json::array pairs;
    for (std::size_t n = 0; n < it.pairs.size(); ++n)
        pairs.push_back(
            json::object{{"short", describe_window(it.pairs[n].short_rate)},
                         {"long", describe_window(it.pairs[n].long_rate)},
                         {"threshold", telemetry::window_pairs[n].threshold},
                         {"burning", it.pairs[n].burning}});
    return {{"rank", json::string(core::to_string(it.importance))},
            {"objective", goal.target},
            {"latency_objective_ms", goal.latency.count()},
            {"pairs", std::move(pairs)},
            {"burning", it.burning}};
}

}  // namespace
}  // namespace detail

std::string format_table(const telemetry::burn_report& report,
                         const telemetry::objectives& goals)
{
    std::ostringstream out;
    detail::write_row(out, {"rank", "objective", "window", "covered",
                            "requests", "bad", "burn", "threshold", "burning"});
    for (const auto& it : report.ranks)
        detail::write_rank(out, it, goals[core::index_of(it.importance)]);
    return out.str();
}

std::string format_json(const telemetry::burn_report& report,
                        const telemetry::objectives& goals)
{
    detail::json::array ranks;
    for (const auto& it : report.ranks)
        ranks.push_back(
            detail::describe_rank(it, goals[core::index_of(it.importance)]));
    return detail::json::serialize(detail::json::object{
               {"burning", report.burning}, {"ranks", std::move(ranks)}}) +
           "\n";
}

}  // namespace godwitbarrow::tool
