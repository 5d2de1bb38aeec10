#include "usage.hpp"

#include <unistd.h>

#include <fstream>
#include <string>

namespace scenario
{

usage read_usage(const process& of)
{
    // The fields after the name in parentheses, see proc(5): 12 and 13 are the
    // user and system time in ticks, 22 the resident pages.
    constexpr int user_field = 12;
    constexpr int system_field = 13;
    constexpr int memory_field = 22;
    std::ifstream in("/proc/" + std::to_string(of.id) + "/stat");
    std::string skipped;
    std::getline(in, skipped, ')');
    usage it;
    long ticks = 0;
    std::string field;
    for (int n = 1; in >> field && n <= memory_field; ++n)
    {
        if (n == user_field || n == system_field)
            ticks += std::stol(field);
        if (n == memory_field)
            it.memory = std::stoul(field) *
                        static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    }
    it.processor_time =
        std::chrono::milliseconds(ticks * 1000 / sysconf(_SC_CLK_TCK));
    return it;
}

}  // namespace scenario
