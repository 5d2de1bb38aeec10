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

/// Whether a character of a group name is written as it is; the others are
/// percent-encoded.
bool is_unreserved(char c)
{
    return c != entry_separator && c != field_separator && c != '%' &&
           c > ' ' && c < '\x7f';
}

void append_hex(std::string& out, std::uint64_t n)
{
    char buffer[16];
    const auto end =
        std::to_chars(std::begin(buffer), std::end(buffer), n, number_base).ptr;
    out.append(std::begin(buffer), end);
}

void append_percent_encoded(std::string& out, const std::string& name)
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (const char c : name)
    {
        if (is_unreserved(c))
        {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += '%';
        out += digits[byte / 16];
        out += digits[byte % 16];
    }
}

std::optional<std::uint64_t> parse_hex(std::string_view text)
{
    std::uint64_t n = 0;
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, n, number_base);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return n;
}

std::optional<std::string> percent_decode(std::string_view text)
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
        const auto code = parse_hex(text.substr(n + 1, 2));
        if (!code)
            return std::nullopt;
        out += static_cast<char>(*code);
        n += 2;
    }
    if (out.empty())
        return std::nullopt;
    return out;
}

bool parse_entry(std::string_view entry, token& target)
{
    const auto first_separator = entry.find(field_separator);
    const auto last_separator = entry.rfind(field_separator);
    if (first_separator == std::string_view::npos ||
        first_separator == last_separator)
        return false;
    const auto name = percent_decode(entry.substr(0, first_separator));
    const auto term = parse_hex(entry.substr(
        first_separator + 1, last_separator - first_separator - 1));
    const auto position = parse_hex(entry.substr(last_separator + 1));
    if (!name || !term || !position)
        return false;
    advance(target, core::group_id{*name}, {*term, *position});
    return true;
}

}  // namespace
}  // namespace detail

core::result<std::string> encode(const token& value)
{
    std::string out;
    for (const auto& [group, at] : value.positions)
    {
        if (!out.empty())
            out += detail::entry_separator;
        detail::append_percent_encoded(out, group.value);
        out += detail::field_separator;
        detail::append_hex(out, at.term);
        out += detail::field_separator;
        detail::append_hex(out, at.position);
    }
    if (value.positions.size() > max_token_groups ||
        out.size() > max_token_bytes)
        return detail::too_large();
    return out;
}

core::result<token> parse_token(std::string_view text)
{
    if (text.size() > max_token_bytes)
        return detail::too_large();
    token result;
    while (!text.empty())
    {
        const auto end =
            std::min(text.find(detail::entry_separator), text.size());
        const auto entry = text.substr(0, end);
        if (!detail::parse_entry(entry, result))
            return detail::malformed(entry);
        if (result.positions.size() > max_token_groups)
            return detail::too_large();
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return result;
}

token merge(token a, const token& b)
{
    for (const auto& [group, at] : b.positions)
        advance(a, group, at);
    return a;
}

void advance(token& target, const core::group_id& group, core::log_position at)
{
    const auto [entry, inserted] = target.positions.emplace(group, at);
    if (!inserted)
        entry->second = std::max(entry->second, at);
}

std::optional<core::log_position> position_in(const token& source,
                                              const core::group_id& group)
{
    const auto entry = source.positions.find(group);
    if (entry == source.positions.end())
        return std::nullopt;
    return entry->second;
}

}  // namespace godwitbarrow::session
