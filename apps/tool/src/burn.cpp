#include "godwitbarrow/tool/burn.hpp"

#include <boost/asio/io_context.hpp>

#include "godwitbarrow/telemetry/exposition.hpp"
#include "godwitbarrow/tool/fleet_history.hpp"
#include "scrape.hpp"

namespace godwitbarrow::tool
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds scrape_timeout{2000};

core::result<telemetry::sample> to_sample(
    const core::result<std::string>& scraped, const telemetry::objectives& of,
    core::time_point at)
{
    if (!core::ok(scraped))
        return std::get<core::error>(scraped);
    const auto parsed =
        telemetry::parse_exposition(std::get<std::string>(scraped));
    if (!core::ok(parsed))
        return std::get<core::error>(parsed);
    return telemetry::sample_from(std::get<telemetry::exposition>(parsed), of,
                                  at);
}

/// Scrapes all targets once; false if one of them gave no counters.
bool take_round(const burn_options& options, fleet_history& history,
                const output& to)
{
    const auto scraped = scrape_all(options.targets, scrape_timeout);
    const auto at = core::runtime_clock::now();
    std::vector<host_sample> round;
    bool whole = true;
    for (std::size_t n = 0; n < scraped.size(); ++n)
    {
        const auto counters = to_sample(scraped[n], options.goals, at);
        host_sample it{core::to_string(options.targets[n]), std::nullopt};
        if (core::ok(counters))
            it.counters = std::get<telemetry::sample>(counters);
        else
            to.errors << std::get<core::error>(counters).message << '\n';
        whole = whole && it.counters;
        round.push_back(std::move(it));
    }
    add_round(history, round, at);
    return whole;
}

void wait(std::chrono::milliseconds time)
{
    boost::asio::io_context io;
    core::timer pause(io, time);
    pause.wait();
}

}  // namespace
}  // namespace detail

int burn(const burn_options& options, const output& to)
{
    fleet_history history;
    bool whole = true;
    for (std::uint32_t n = 0; n < options.samples; ++n)
    {
        if (n > 0)
            detail::wait(options.interval);
        whole = detail::take_round(options, history, to) && whole;
    }
    const auto report = telemetry::compute_burn(history.history, options.goals);
    to.result << (options.json ? format_json(report, options.goals)
                               : format_table(report, options.goals));
    if (report.burning)
        return exit_burning;
    return whole ? exit_not_burning : exit_failure;
}

}  // namespace godwitbarrow::tool
