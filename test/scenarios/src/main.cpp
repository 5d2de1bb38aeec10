#include <gflags/gflags.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "execute.hpp"

DEFINE_string(scenario, "", "file with the steps");
DEFINE_string(settings, "", "folder of settings");
DEFINE_string(programs, "", "folder with the programs of this project");
DEFINE_bool(print, false, "print each step and its answer");
DEFINE_int32(lag_ms, 20, "replication delay");
DEFINE_int32(service_ms, 2, "time that one statement takes its slot");

namespace
{

namespace fs = std::filesystem;

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

// Different runs on one machine use different loopback addresses.
std::string address_of_run()
{
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + id / 250 % 250) + "." +
           std::to_string(1 + id % 250) + ".1";
}

scenario::cluster_options make_options()
{
    scenario::cluster_options it;
    it.settings_folder = FLAGS_settings;
    it.programs = FLAGS_programs;
    it.work_folder = (fs::temp_directory_path() /
                      ("godwitbarrow-scenario-" + std::to_string(getpid())))
                         .string();
    it.address = address_of_run();
    it.lag = std::chrono::milliseconds(FLAGS_lag_ms);
    it.service_time = std::chrono::milliseconds(FLAGS_service_ms);
    return it;
}

std::size_t run(const scenario::script& script, scenario::run_state& it)
{
    std::size_t failed = 0;
    for (const auto& n : script.steps)
    {
        const auto failures = scenario::execute(it, n);
        for (const auto& text : failures)
            std::printf("FAILED %s\n", text.c_str());
        failed += failures.size();
        std::fflush(stdout);
        // The later steps of a story build on the earlier ones.
        if (failed > 0)
            break;
    }
    return failed;
}

}  // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs a scenario on real processes");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto script = scenario::parse_script(read_file(FLAGS_scenario));
    if (!ok(script))
    {
        std::fprintf(stderr, "%s: %s\n", FLAGS_scenario.c_str(),
                     std::get<scenario::core::error>(script).message.c_str());
        return 2;
    }
    auto made = scenario::make_cluster(make_options());
    if (!ok(made))
    {
        std::fprintf(stderr, "%s\n",
                     std::get<scenario::core::error>(made).message.c_str());
        return 2;
    }
    scenario::run_state it;
    it.processes = std::get<scenario::cluster>(std::move(made));
    it.print = FLAGS_print;
    const auto& story = std::get<scenario::script>(script);
    std::printf("%s\n", story.title.c_str());
    auto failed = run(story, it);
    scenario::stop_loads(it);
    scenario::end_all(it.processes);
    for (const auto& n :
         scenario::find_fault_reports(it.processes.options.work_folder))
    {
        std::printf("FAILED %s\n", n.c_str());
        ++failed;
    }
    if (failed > 0)
        std::printf("logs are in %s\n",
                    it.processes.options.work_folder.c_str());
    else
        fs::remove_all(it.processes.options.work_folder);
    std::printf("%s\n", failed > 0 ? "FAILED" : "passed");
    return failed > 0 ? 1 : 0;
}
