#include "godwitbarrow/session/token.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace godwitbarrow::session
{
namespace detail
{
namespace
{

constexpr int number_base = 16;
constexpr char entry_separator = ';';
constexpr char field_separator = ':';

core::error too_large()
{
    return {core::error_kind::request_too_large,
            "the session token exceeds " + std::to_string(max_token_groups) +
                " groups or " + std::to_string(max_token_bytes) +
                " bytes; start a new session for other groups"};
}

core::error malformed(std::string_view entry)
{
    return {core::error_kind::malformed_request,
            "session token entry '" + std::string(entry) +
                "' is not GROUP:TERM:POSITION; send the token of the last "
                "answer unchanged"};
}

bool is_plain(char c)
{
    return c != entry_separator && c != field_separator && c != '%' &&
           c > ' ' && c < '\x7f';
}

void append_number(std::string& out, std::uint64_t n)
{
    char buf[16];
    const auto end =
        std::to_chars(std::begin(buf), std::end(buf), n, number_base).ptr;
    out.append(std::begin(buf), end);
}

void append_name(std::string& out, const std::string& name)
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (const char c : name)
    {
        if (is_plain(c))
        {
            out += c;
            continue;
        }
        const auto n = static_cast<unsigned char>(c);
        out += '%';
        out += digits[n / 16];
        out += digits[n % 16];
    }
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t n = 0;
    const auto end = text.data() + text.size();
    const auto it = std::from_chars(text.data(), end, n, number_base);
    if (it.ec != std::errc{} || it.ptr != end)
        return std::nullopt;
    return n;
}

std::optional<std::string> parse_name(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        if (text[n] != '%')
        {
            out += text[n];
            continue;
        }
        if (text.size() - n < 3)
            return std::nullopt;
        const auto code = parse_number(text.substr(n + 1, 2));
        if (!code)
            return std::nullopt;
        out += static_cast<char>(*code);
        n += 2;
    }
    if (out.empty())
        return std::nullopt;
    return out;
}

bool parse_entry(std::string_view entry, token& into)
{
    const auto first = entry.find(field_separator);
    const auto last = entry.rfind(field_separator);
    if (first == std::string_view::npos || first == last)
        return false;
    const auto name = parse_name(entry.substr(0, first));
    const auto term = parse_number(entry.substr(first + 1, last - first - 1));
    const auto position = parse_number(entry.substr(last + 1));
    if (!name || !term || !position)
        return false;
    advance(into, core::group_id{*name}, {*term, *position});
    return true;
}

}  // namespace
}  // namespace detail

core::result<std::string> encode(const token& it)
{
    std::string out;
    for (const auto& [group, at] : it.positions)
    {
        if (!out.empty())
            out += detail::entry_separator;
        detail::append_name(out, group.value);
        out += detail::field_separator;
        detail::append_number(out, at.term);
        out += detail::field_separator;
        detail::append_number(out, at.position);
    }
    if (it.positions.size() > max_token_groups || out.size() > max_token_bytes)
        return detail::too_large();
    return out;
}

core::result<token> parse_token(std::string_view text)
{
    if (text.size() > max_token_bytes)
        return detail::too_large();
    token it;
    while (!text.empty())
    {
        const auto end =
            std::min(text.find(detail::entry_separator), text.size());
        const auto entry = text.substr(0, end);
        if (!detail::parse_entry(entry, it))
            return detail::malformed(entry);
        if (it.positions.size() > max_token_groups)
            return detail::too_large();
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return it;
}

token merge(token a, const token& b)
{
    for (const auto& [group, at] : b.positions)
        advance(a, group, at);
    return a;
}

void advance(token& it, const core::group_id& group, core::log_position at)
{
    const auto [entry, inserted] = it.positions.emplace(group, at);
    if (!inserted)
        entry->second = std::max(entry->second, at);
}

std::optional<core::log_position> position_in(const token& it,
                                              const core::group_id& group)
{
    const auto entry = it.positions.find(group);
    if (entry == it.positions.end())
        return std::nullopt;
    return entry->second;
}

}  // namespace godwitbarrow::session
