#include <gflags/gflags.h>

#include <iostream>
#include <string>

#include "godwitbarrow/tool/burn.hpp"
#include "godwitbarrow/tool/commands.hpp"

DEFINE_string(
    folder, "",
    "folder of settings files; for burn, the objectives come from it");
DEFINE_bool(show, false, "check: print the merged settings with defaults");
DEFINE_string(scrape, "",
              "burn: admin ports ADDR:PORT of all hosts, separated by commas");
DEFINE_string(interval, "10s", "burn: time between two samples");
DEFINE_uint32(samples, 2, "burn: number of samples, at least 2");
DEFINE_bool(json, false, "burn: print JSON instead of a table");

namespace
{

constexpr const char* usage =
    "godwitbarrow-tool COMMAND [FLAGS]\n"
    "  check --folder=DIR [--show]  check settings; exit code 0 or 1\n"
    "  digest --folder=DIR          print the digest of a folder\n"
    "  burn --scrape=ADDR:PORT,... [--folder=DIR] [--interval=10s]\n"
    "       [--samples=N] [--json]  report how fast objectives are missed;\n"
    "                               exit code 0 not burning, 2 burning,\n"
    "                               1 failure\n"
    "  keys                         print all keys as rows of docs/settings.md";

int run_burn(const godwitbarrow::tool::output& to)
{
    const auto options = godwitbarrow::tool::parse_burn_flags(
        {FLAGS_scrape, FLAGS_interval, FLAGS_samples, FLAGS_folder,
         FLAGS_json});
    if (const auto* it = std::get_if<godwitbarrow::core::error>(&options))
    {
        to.errors << it->message << '\n';
        return godwitbarrow::tool::exit_failure;
    }
    return godwitbarrow::tool::burn(
        std::get<godwitbarrow::tool::burn_options>(options), to);
}

int run(const std::string& command)
{
    const godwitbarrow::tool::output to{std::cout, std::cerr};
    if (command == "check")
        return godwitbarrow::tool::check(FLAGS_folder, FLAGS_show, to);
    if (command == "digest")
        return godwitbarrow::tool::digest(FLAGS_folder, to);
    if (command == "burn")
        return run_burn(to);
    if (command == "keys")
        return godwitbarrow::tool::keys(to);
    std::cerr << (command.empty() ? "no command is given"
                                  : "unknown command " + command)
              << "; usage:\n"
              << usage << '\n';
    return 1;
}

}  // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run(argc == 2 ? argv[1] : "");
}
