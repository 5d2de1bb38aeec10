#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "godwitbarrow/serving/state.hpp"

/// Measures how memory, processor time and bytes grow with size.
namespace godwitbarrow::capacity
{

/// One figure at several sizes.
struct series
{
    std::string name;
    /// What is counted, in the singular, for example "group".
    std::string size_unit;
    std::vector<std::size_t> sizes;
    std::string value_unit;
    std::vector<double> values;
};

/// Value and unit of a table cell; times are in microseconds.
std::pair<double, const char*> cell(std::size_t bytes);
std::pair<double, const char*> cell(std::chrono::nanoseconds time);

/// `measure` returns bytes or a time at a size.
template <class Measure>
series sweep(const std::string& name, const std::string& size_unit,
             const std::vector<std::size_t>& sizes, Measure measure)
{
    series it{name, size_unit, sizes, {}, {}};
    for (const auto n : sizes)
    {
        const auto [value, unit] = cell(measure(n));
        it.values.push_back(value);
        it.value_unit = unit;
    }
    return it;
}

/// Markdown rows with a least-squares slope.
std::string format_rows(const std::vector<series>& all,
                        const std::string& command);

/// Bytes that the allocator has handed out, with its overhead.
std::size_t heap_bytes();

/// Processor time of all threads during `run`.
std::chrono::nanoseconds processor_time(const std::function<void()>& run);

/// Ends the program with a message if a step did not do what it measures.
void require(bool met, const char* what);

/// "group-00042", and its member `m`, "group-00042-1" for the first.
core::group_id group_name(std::size_t n);
core::server_id member_name(std::size_t n, std::size_t m);
/// Settings of group `n` with three members.
serving::group_settings settings_of(std::size_t n);

// The topics.
std::vector<series> measure_groups();
std::vector<series> measure_connections();
std::vector<series> measure_requests();
std::vector<series> measure_membership();
std::vector<series> measure_messages();
std::vector<series> measure_settings();

}  // namespace godwitbarrow::capacity
