#include "ini_file.hpp"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <set>
#include <string_view>

#include "godwitbarrow/settings/keys.hpp"

namespace godwitbarrow::settings::detail
{
namespace
{

/// inih stores at most 49 characters of a section header or key.
constexpr std::size_t max_token_length = 49;
/// Line ending and terminator, which inih counts towards its line buffer.
constexpr std::size_t line_overhead = 3;

/// State of parsing one file with inih. inih calls the handler before it reads
/// the next line, so `line` is the line of the key.
struct parse_state
{
    const std::string& file;
    std::string_view remaining;
    std::uint32_t line = 0;
    section_map& sections;
    std::vector<problem>& problems;
    /// Keys of this file as "section\nkey", to detect duplicates.
    std::set<std::string> seen;
};

void report(parse_state& state, const std::string& message)
{
    state.problems.push_back({state.file, state.line, message});
}

std::string_view extract_line(std::string_view& remaining)
{
    const auto end = remaining.find('\n');
    auto text = remaining.substr(0, end);
    remaining.remove_prefix(end == std::string_view::npos ? remaining.size()
                                                          : end + 1);
    if (!text.empty() && text.back() == '\r')
        text.remove_suffix(1);
    return text;
}

section& open_section(parse_state& state, const std::string& header)
{
    const auto [found, added] = state.sections.try_emplace(header);
    if (added)
    {
        const auto dot = header.find('.');
        found->second.type = header.substr(0, dot);
        if (dot != std::string::npos)
            found->second.name = header.substr(dot + 1);
        found->second.at = {state.file, state.line};
    }
    return found->second;
}

bool has_control_character(std::string_view text)
{
    return std::any_of(text.begin(), text.end(),
                       [](unsigned char c)
                       { return (c < ' ' && c != '\t') || c == 127; });
}

/// Opens a section at its header, because inih does not report a section
/// without keys.
void record_header(parse_state& state, std::string_view text)
{
    const auto end = text.find(']');
    if (text.empty() || text.front() != '[' || end == std::string_view::npos)
        return;
    const auto header = text.substr(1, end - 1);
    if (header.size() > max_token_length)
        report(state,
               "section header is longer than 49 characters; shorten it");
    else
        open_section(state, std::string(header));
}

/// Returns the line. One that is too long for inih or contains a control
/// character is reported and replaced by a comment.
std::string_view checked_line(parse_state& state, std::string_view text,
                              std::size_t capacity)
{
    if (text.size() + line_overhead > capacity)
    {
        report(state, "line is longer than " +
                          std::to_string(capacity - line_overhead) +
                          " bytes; shorten it");
        return ";";
    }
    if (has_control_character(text))
    {
        report(state, "line contains a control character; remove it");
        return ";";
    }
    return text;
}

/// Line reader for inih with the contract of fgets. Leading spaces and tabs are
/// removed, because inih would read an indented line as a continuation of the
/// previous value.
char* next_line(char* buf, int capacity, void* stream)
{
    auto& state = *static_cast<parse_state*>(stream);
    if (state.remaining.empty())
        return nullptr;
    ++state.line;
    auto text = extract_line(state.remaining);
    const auto first = text.find_first_not_of(" \t");
    text.remove_prefix(first == std::string_view::npos ? text.size() : first);
    text = checked_line(state, text, static_cast<std::size_t>(capacity));
    record_header(state, text);
    std::memcpy(buf, text.data(), text.size());
    buf[text.size()] = '\n';
    buf[text.size() + 1] = '\0';
    return buf;
}

int store_entry(void* user, const char* header, const char* key,
                const char* value)
{
    auto& state = *static_cast<parse_state*>(user);
    const std::string name(key);
    if (*header == '\0')
        report(state,
               "key \"" + name +
                   "\" appears before any section; write a section header "
                   "such as [limits] above it");
    else if (name.size() >= max_token_length)
        report(state, "key is longer than 48 characters; shorten it");
    else if (!state.seen.insert(std::string(header) + '\n' + name).second)
        report(state, "key \"" + name + "\" occurs twice in [" + header +
                          "] of this file; remove one of them");
    else
        open_section(state, header).entries[name] = {value,
                                                     {state.file, state.line}};
    return 1;
}

void read_file(const std::string& file, std::string_view content,
               section_map& sections, std::vector<problem>& problems)
{
    constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
    if (content.substr(0, byte_order_mark.size()) == byte_order_mark)
        content.remove_prefix(byte_order_mark.size());
    parse_state state{file, content, 0, sections, problems, {}};
    const int line = ini_parse_stream(next_line, &state, store_entry, &state);
    if (line > 0)
        problems.push_back({file, static_cast<std::uint32_t>(line),
                            "neither a section nor a key; write [SECTION] or "
                            "KEY = VALUE, or start a comment with ;"});
}

}  // namespace

section_map merge_files(const file_set& files, std::vector<problem>& problems)
{
    section_map sections;
    for (const auto& [file, content] : files)
        read_file(file, content, sections, problems);
    return sections;
}

}  // namespace godwitbarrow::settings::detail
