#include <malloc.h>

#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <sstream>

#include "capacity.hpp"

namespace godwitbarrow::capacity
{
namespace
{

double slope(const series& it)
{
    const auto n = static_cast<double>(it.sizes.size());
    const auto x = std::accumulate(it.sizes.begin(), it.sizes.end(), 0.0) / n;
    const auto y = std::accumulate(it.values.begin(), it.values.end(), 0.0) / n;
    double covariance = 0;
    double variance = 0;
    for (std::size_t i = 0; i < it.sizes.size(); ++i)
    {
        const auto dx = static_cast<double>(it.sizes[i]) - x;
        covariance += dx * (it.values[i] - y);
        variance += dx * dx;
    }
    return covariance / variance;
}

std::chrono::nanoseconds processor_clock()
{
    timespec it{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &it);
    return std::chrono::seconds(it.tv_sec) +
           std::chrono::nanoseconds(it.tv_nsec);
}

}  // namespace

std::pair<double, const char*> cell(std::size_t bytes)
{
    return {static_cast<double>(bytes), "B"};
}

std::pair<double, const char*> cell(std::chrono::nanoseconds time)
{
    return {std::chrono::duration<double, std::micro>(time).count(), "us"};
}

std::string format_rows(const std::vector<series>& all,
                        const std::string& command)
{
    std::ostringstream out;
    for (const auto& it : all)
    {
        out << "| " << it.name << " | ";
        for (const auto n : it.sizes)
            out << n << ' ';
        out << it.size_unit << "s | " << std::setprecision(10);
        for (const auto value : it.values)
            out << value << ' ';
        out << it.value_unit << " | " << std::setprecision(4) << slope(it)
            << ' ' << it.value_unit << '/' << it.size_unit << " | `" << command
            << "` |\n";
    }
    return out.str();
}

std::size_t heap_bytes()
{
    const auto it = mallinfo2();
    return it.uordblks + it.hblkhd;
}

std::chrono::nanoseconds processor_time(const std::function<void()>& run)
{
    const auto before = processor_clock();
    run();
    return processor_clock() - before;
}

void require(bool met, const char* what)
{
    if (met)
        return;
    std::cerr << "capacity_bench: not met: " << what << '\n';
    std::_Exit(EXIT_FAILURE);
}

}  // namespace godwitbarrow::capacity
