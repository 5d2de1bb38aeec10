#include "godwitbarrow/telemetry/exposition.hpp"

#include <charconv>
#include <cmath>

#include "godwitbarrow/telemetry/metrics.hpp"
#include "metric_names.hpp"

namespace godwitbarrow::telemetry
{
namespace detail
{
namespace
{

constexpr std::string_view blanks = " \t\r";

/// The rest of one line.
struct cursor
{
    std::string_view rest;
};

void skip_blanks(cursor& in)
{
    const auto n = in.rest.find_first_not_of(blanks);
    in.rest.remove_prefix(n == std::string_view::npos ? in.rest.size() : n);
}

bool take(cursor& in, char c)
{
    skip_blanks(in);
    if (in.rest.empty() || in.rest.front() != c)
        return false;
    in.rest.remove_prefix(1);
    return true;
}

/// Characters up to the next of `ends` or the end of the line.
std::string take_until(cursor& in, std::string_view ends)
{
    skip_blanks(in);
    const auto n = std::min(in.rest.find_first_of(ends), in.rest.size());
    std::string out(in.rest.substr(0, n));
    in.rest.remove_prefix(n);
    return out;
}

/// The text up to the closing quote, without its escapes.
std::optional<std::string> take_quoted(cursor& in)
{
    if (!take(in, '"'))
        return std::nullopt;
    std::string out;
    while (!in.rest.empty() && in.rest.front() != '"')
    {
        char c = in.rest.front();
        in.rest.remove_prefix(1);
        if (c == '\\' && !in.rest.empty())
        {
            c = in.rest.front() == 'n' ? '\n' : in.rest.front();
            in.rest.remove_prefix(1);
        }
        out.push_back(c);
    }
    if (!take(in, '"'))
        return std::nullopt;
    return out;
}

bool take_labels(cursor& in, series& to)
{
    if (!take(in, '{'))
        return true;
    while (!take(in, '}'))
    {
        const auto key = take_until(in, " \t=}");
        if (key.empty() || !take(in, '='))
            return false;
        auto value = take_quoted(in);
        if (!value)
            return false;
        to.labels[key] = std::move(*value);
        take(in, ',');
    }
    return true;
}

bool parse_number(std::string_view text, double& to)
{
    if (!text.empty() && text.front() == '+')
        text.remove_prefix(1);
    const auto* end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, to);
    return ec == std::errc() && at == end;
}

/// A timestamp may follow the value.
bool take_value(cursor& in, series& to)
{
    if (!parse_number(take_until(in, blanks), to.value))
        return false;
    skip_blanks(in);
    double timestamp = 0;
    return in.rest.empty() ||
           (parse_number(take_until(in, blanks), timestamp) &&
            (skip_blanks(in), in.rest.empty()));
}

bool parse_line(std::string_view line, series& to)
{
    cursor in{line};
    to.name = take_until(in, " \t{");
    return !to.name.empty() && take_labels(in, to) && take_value(in, to);
}

bool is_comment(std::string_view line)
{
    const auto n = line.find_first_not_of(blanks);
    return n == std::string_view::npos || line[n] == '#';
}

core::error invalid_line(std::size_t number)
{
    return {core::error_kind::protocol_error,
            "line " + std::to_string(number) +
                " is not in the Prometheus text format; check that the "
                "address is the scrape port of a proxy"};
}

std::string label(const series& it, const char* key)
{
    const auto found = it.labels.find(key);
    return found == it.labels.end() ? std::string() : found->second;
}

/// Counters are whole numbers; anything else counts as 0.
std::uint64_t count_of(const series& it)
{
    constexpr double largest = 9007199254740992.0;  // 2^53, exact in a double
    return it.value > 0 && it.value <= largest
               ? static_cast<std::uint64_t>(it.value)
               : 0;
}

void add_total(sample& to, const series& it)
{
    const auto rank = core::parse_rank(label(it, rank_label));
    if (rank && label(it, result_label) != to_string(request_result::invalid))
        to.by_rank[core::index_of(*rank)].total += count_of(it);
}

/// Buckets are cumulative, so the greatest allowed one has the largest count.
void add_good(sample& to, const series& it, const objectives& of)
{
    constexpr double rounding = 1e-9;
    const auto rank = core::parse_rank(label(it, rank_label));
    double bound = 0;
    if (!rank || !parse_number(label(it, bound_label), bound))
        return;
    const auto n = core::index_of(*rank);
    const std::chrono::duration<double> limit = of[n].latency;
    if (bound <= limit.count() + rounding)
        to.by_rank[n].good = std::max(to.by_rank[n].good, count_of(it));
}

}  // namespace
}  // namespace detail

core::result<exposition> parse_exposition(std::string_view text)
{
    exposition out;
    for (std::size_t number = 1; !text.empty(); ++number)
    {
        const auto n = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, n);
        text.remove_prefix(std::min(n + 1, text.size()));
        if (detail::is_comment(line))
            continue;
        series it;
        if (!detail::parse_line(line, it))
            return detail::invalid_line(number);
        out.push_back(std::move(it));
    }
    return out;
}

sample sample_from(const exposition& scrape, const objectives& of,
                   core::time_point taken_at)
{
    sample out;
    out.at = taken_at;
    for (const auto& it : scrape)
    {
        if (it.name == detail::requests_name)
            detail::add_total(out, it);
        else if (it.name == detail::latency_bucket_name)
            detail::add_good(out, it, of);
    }
    return out;
}

}  // namespace godwitbarrow::telemetry
