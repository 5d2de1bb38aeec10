#include <sstream>

#include "godwitbarrow/settings/units.hpp"
#include "godwitbarrow/tool/burn.hpp"

namespace godwitbarrow::tool
{
namespace detail
{
namespace
{

constexpr std::uint32_t fewest_samples = 2;

core::error bad_flag(const std::string& flag, const std::string& remedy)
{
    return {core::error_kind::invalid_settings, "--" + flag + ": " + remedy};
}

core::result<std::vector<core::endpoint>> parse_targets(const std::string& text)
{
    std::vector<core::endpoint> targets;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
    {
        auto it = core::parse_endpoint(part);
        if (!core::ok(it))
            return bad_flag("scrape", std::get<core::error>(it).message);
        targets.push_back(std::get<core::endpoint>(std::move(it)));
    }
    if (targets.empty())
        return bad_flag("scrape",
                        "no host is given; write the admin ports of all "
                        "hosts, for example 127.0.0.1:21300");
    return targets;
}

core::result<telemetry::objectives> read_objectives(const std::string& folder)
{
    if (folder.empty())
        return objectives_of(settings::settings());
    const auto files = settings::read_folder(folder);
    if (!core::ok(files))
        return std::get<core::error>(files);
    const auto parsed =
        settings::parse_settings(std::get<settings::file_set>(files));
    if (const auto* it = std::get_if<settings::settings>(&parsed))
        return objectives_of(*it);
    return bad_flag("folder", folder +
                                  " is not valid; see godwitbarrow-tool check "
                                  "--folder=" +
                                  folder);
}

}  // namespace
}  // namespace detail

telemetry::objectives objectives_of(const settings::settings& it)
{
    telemetry::objectives goals;
    for (std::size_t n = 0; n < core::rank_count; ++n)
        goals[n] = {it.ranks[n].objective, it.ranks[n].latency_objective};
    return goals;
}

core::result<burn_options> parse_burn_flags(const burn_flags& flags)
{
    auto targets = detail::parse_targets(flags.scrape);
    if (!core::ok(targets))
        return std::get<core::error>(targets);
    const auto interval = settings::parse_duration(flags.interval);
    if (!interval || interval->count() == 0)
        return detail::bad_flag("interval", "write a time such as 10s");
    if (flags.samples < detail::fewest_samples)
        return detail::bad_flag("samples", "write 2 or more");
    const auto goals = detail::read_objectives(flags.folder);
    if (!core::ok(goals))
        return std::get<core::error>(goals);
    return burn_options{
        std::get<std::vector<core::endpoint>>(std::move(targets)),
        std::get<telemetry::objectives>(goals), *interval, flags.samples,
        flags.json};
}

}  // namespace godwitbarrow::tool
