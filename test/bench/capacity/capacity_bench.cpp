#include <algorithm>
#include <iostream>
#include <utility>

#include "capacity.hpp"

using namespace godwitbarrow::capacity;

/// Measures the topics that are named as arguments, or all.
int main(int argc, char** argv)
{
    using measure = std::vector<series> (*)();
    const std::pair<std::string, measure> topics[] = {
        {"groups", measure_groups},     {"connections", measure_connections},
        {"requests", measure_requests}, {"membership", measure_membership},
        {"messages", measure_messages}, {"settings", measure_settings}};
    const std::vector<std::string> named(argv + 1, argv + argc);
    std::cout << "| name | sizes | values | slope | command |\n"
                 "|---|---|---|---|---|\n";
    for (const auto& [name, run] : topics)
        if (named.empty() ||
            std::find(named.begin(), named.end(), name) != named.end())
            std::cout << format_rows(run(), "capacity_bench " + name)
                      << std::flush;
    return 0;
}
