#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "godwitbarrow/core/endpoint.hpp"
#include "godwitbarrow/settings/settings.hpp"
#include "godwitbarrow/telemetry/burn.hpp"
#include "godwitbarrow/tool/commands.hpp"

/// The report of how fast the objectives of each rank are missed.
namespace godwitbarrow::tool
{

struct burn_options
{
    /// Admin ports of the hosts.
    std::vector<core::endpoint> targets;
    telemetry::objectives goals;
    /// Time between two rounds.
    std::chrono::milliseconds interval{10000};
    /// Rounds, at least 2.
    std::uint32_t samples = 2;
    bool json = false;
};

constexpr int exit_not_burning = 0;
constexpr int exit_failure = 1;
constexpr int exit_burning = 2;

/// The flags of the command as they are written.
struct burn_flags
{
    /// ADDR:PORT, separated by commas.
    std::string scrape;
    std::string interval;
    std::uint32_t samples = 2;
    /// Settings with the objectives; empty for the defaults.
    std::string folder;
    bool json = false;
};

/// Errors: invalid_settings with the flag and the remedy.
core::result<burn_options> parse_burn_flags(const burn_flags& flags);

telemetry::objectives objectives_of(const settings::settings& it);

std::string format_table(const telemetry::burn_report& report,
                         const telemetry::objectives& goals);
std::string format_json(const telemetry::burn_report& report,
                        const telemetry::objectives& goals);

/// Reads /metrics of all targets `samples` times and prints the report.
/// Returns `exit_burning` if a rank burns; otherwise `exit_failure` if a
/// target did not answer in every round, since its requests are missing.
int burn(const burn_options& options, const output& to);

}  // namespace godwitbarrow::tool
