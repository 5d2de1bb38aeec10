#pragma once

#include <chrono>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "godwitbarrow/core/names.hpp"

/// Structured logs: one line an event, with key=value fields.
namespace godwitbarrow::telemetry
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

std::string_view to_string(log_level it);
std::optional<log_level> parse_log_level(std::string_view text);

/// One key=value pair. Durations are written in milliseconds.
struct field
{
    field(std::string_view k, std::string v) : key(k), value(std::move(v)) {}
    field(std::string_view k, std::string_view v) : key(k), value(v) {}
    field(std::string_view k, const char* v) : key(k), value(v) {}
    template <class Tag>
    field(std::string_view k, const core::name<Tag>& v) : key(k), value(v.value)
    {
    }
    template <class Number,
              std::enable_if_t<std::is_arithmetic_v<Number>, int> = 0>
    field(std::string_view k, Number v) : key(k), value(std::to_string(v))
    {
    }
    template <class Rep, class Period>
    field(std::string_view k, std::chrono::duration<Rep, Period> v)
        : key(k),
          value(std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(v)
                        .count()) +
                "ms")
    {
    }

    std::string_view key;
    std::string value;
};

using fields = std::initializer_list<field>;

enum class log_target
{
    standard_error,
    /// Never waits for a reader; lines that find no room are counted.
    standard_output
};

/// Call once before the first event; further calls only set the level.
void start_logging(log_level least = log_level::info,
                   log_target to = log_target::standard_error);
void set_log_level(log_level least);

/// Callable from any thread.
void log_event(log_level level, std::string_view message, fields with = {});

/// The line without time and level. Values with spaces, quotes or control
/// characters are quoted and escaped, so that an event is always one line.
std::string format_event(std::string_view message, fields with);

}  // namespace godwitbarrow::telemetry
