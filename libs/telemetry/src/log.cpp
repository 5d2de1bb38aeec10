#include "godwitbarrow/telemetry/log.hpp"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <mutex>

#include "godwitbarrow/core/lock_order.hpp"
#include "godwitbarrow/telemetry/line_writer.hpp"

namespace godwitbarrow::telemetry
{
namespace detail
{
namespace
{

constexpr std::array<std::string_view, 4> level_names{"debug", "info",
                                                      "warning", "error"};

log4cxx::LoggerPtr logger()
{
    static const auto it = log4cxx::Logger::getLogger("godwitbarrow");
    return it;
}

log4cxx::LevelPtr convert(log_level it)
{
    switch (it)
    {
        case log_level::debug:
            return log4cxx::Level::getDebug();
        case log_level::info:
            return log4cxx::Level::getInfo();
        case log_level::warning:
            return log4cxx::Level::getWarn();
        default:
            return log4cxx::Level::getError();
    }
}

/// Standard output, once it is the target. log4cxx has no appender that does
/// not wait for its reader.
struct output
{
    std::atomic<bool> used{false};
    core::ordered_mutex<core::lock_level::metrics> mutex;
    line_writer to;
};

output& standard_output()
{
    static output it;
    return it;
}

std::string timestamp()
{
    using namespace std::chrono;
    const auto now = system_clock::now();
    const auto t = system_clock::to_time_t(now);
    const auto ms =
        duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&t, &parts);
    std::array<char, 40> buf{};
    const auto n =
        std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(buf.data() + n, buf.size() - n, ".%03d",
                  static_cast<int>(ms));
    return buf.data();
}

void write_output(log_level level, const std::string& text)
{
    auto line = timestamp();
    line += ' ';
    line += level_names[static_cast<std::size_t>(level)];
    line += ' ';
    line += text;
    auto& out = standard_output();
    std::lock_guard lock(out.mutex);
    write_line(out.to, line);
}

void add_appender()
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %p %m%n"));
    const auto out = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    logger()->setAdditivity(false);
    logger()->addAppender(out);
}

bool needs_quotes(std::string_view value)
{
    for (const char c : value)
        if (c <= ' ' || c == '"' || c == '\\' || c == '=' || c == 0x7f)
            return true;
    return value.empty();
}

void put_escaped(std::string& to, char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto code = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
        to.append({'\\', c});
    else if (c == '\n')
        to.append("\\n");
    else if (code < ' ' || code == 0x7f)
        to.append({'\\', 'x', digits[code >> 4], digits[code & 15]});
    else
        to.push_back(c);
}

void put_value(std::string& to, std::string_view value)
{
    if (!needs_quotes(value))
    {
        to.append(value);
        return;
    }
    to.push_back('"');
    for (const char c : value)
        put_escaped(to, c);
    to.push_back('"');
}

}  // namespace
}  // namespace detail

std::string_view to_string(log_level it)
{
    return detail::level_names[static_cast<std::size_t>(it)];
}

std::optional<log_level> parse_log_level(std::string_view text)
{
    for (std::size_t n = 0; n < detail::level_names.size(); ++n)
        if (detail::level_names[n] == text)
            return static_cast<log_level>(n);
    return std::nullopt;
}

void start_logging(log_level least, log_target to)
{
    static std::once_flag once;
    if (to == log_target::standard_output)
        detail::standard_output().used = true;
    else
        std::call_once(once, detail::add_appender);
    set_log_level(least);
}

void set_log_level(log_level least)
{
    detail::logger()->setLevel(detail::convert(least));
}

void log_event(log_level level, std::string_view message, fields with)
{
    const auto it = detail::logger();
    const auto at = detail::convert(level);
    if (!it->isEnabledFor(at))
        return;
    if (detail::standard_output().used)
        return detail::write_output(level, format_event(message, with));
    it->forcedLog(at, format_event(message, with));
}

std::string format_event(std::string_view message, fields with)
{
    std::string out = "event=";
    detail::put_value(out, message);
    for (const auto& it : with)
    {
        out.push_back(' ');
        out.append(it.key);
        out.push_back('=');
        detail::put_value(out, it.value);
    }
    return out;
}

}  // namespace godwitbarrow::telemetry
