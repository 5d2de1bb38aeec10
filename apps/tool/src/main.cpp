#include <gflags/gflags.h>

#include <iostream>
#include <string>

#include "godwitbarrow/tool/commands.hpp"

DEFINE_string(folder, "", "folder of settings files, for check and digest");
DEFINE_bool(show, false, "check: print the merged settings with defaults");

namespace
{

constexpr const char* usage =
    "godwitbarrow-tool COMMAND [FLAGS]\n"
    "  check --folder=DIR [--show]  check settings; exit code 0 or 1\n"
    "  digest --folder=DIR          print the digest of a folder\n"
    "  keys                         print all keys as rows of docs/settings.md";

int run(const std::string& command)
{
    const godwitbarrow::tool::output to{std::cout, std::cerr};
    if (command == "check")
        return godwitbarrow::tool::check(FLAGS_folder, FLAGS_show, to);
    if (command == "digest")
        return godwitbarrow::tool::digest(FLAGS_folder, to);
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
