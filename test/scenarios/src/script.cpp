#include "script.hpp"

#include <charconv>
#include <sstream>

namespace scenario
{
namespace detail
{
namespace
{

struct word
{
    std::string text;
    /// Offset of the first "=" outside quotes, or npos.
    std::size_t equals = std::string::npos;
};

struct line_reader
{
    std::string_view text;
    std::size_t at = 0;
};

void skip_spaces(line_reader& in)
{
    while (in.at < in.text.size() && in.text[in.at] == ' ')
        ++in.at;
}

char unescape(char c)
{
    return c == 'n' ? '\n' : c;
}

// Reads one word; quotes group characters and are removed. A backslash keeps
// the next character as it is, but \n is a line break.
word read_word(line_reader& in)
{
    word it;
    bool quoted = false;
    for (; in.at < in.text.size(); ++in.at)
    {
        const char c = in.text[in.at];
        if (c == ' ' && !quoted)
            break;
        if (c == '"')
        {
            quoted = !quoted;
            continue;
        }
        if (c == '=' && !quoted && it.equals == std::string::npos)
            it.equals = it.text.size();
        if (c == '\\' && in.at + 1 < in.text.size())
            it.text += unescape(in.text[++in.at]);
        else
            it.text += c;
    }
    return it;
}

std::vector<word> split_words(std::string_view text)
{
    std::vector<word> words;
    line_reader in{text};
    for (skip_spaces(in); in.at < text.size(); skip_spaces(in))
    {
        if (text[in.at] == '#')
            break;
        words.push_back(read_word(in));
    }
    return words;
}

step parse_step(int line, std::string_view text)
{
    step it;
    it.line = line;
    it.text = text;
    bool after_arrow = false;
    for (auto& n : split_words(text))
    {
        if (n.text == "=>")
            after_arrow = true;
        else if (it.verb.empty())
            it.verb = n.text;
        else if (n.equals == std::string::npos)
            it.words.push_back(n.text);
        else
            (after_arrow ? it.expected
                         : it.options)[n.text.substr(0, n.equals)] =
                n.text.substr(n.equals + 1);
    }
    return it;
}

}  // namespace
}  // namespace detail

core::result<script> parse_script(std::string_view text)
{
    script it;
    std::istringstream in{std::string(text)};
    std::string line;
    for (int n = 1; std::getline(in, line); ++n)
    {
        if (n == 1 && line.rfind("# ", 0) == 0)
            it.title = line.substr(2);
        auto parsed = detail::parse_step(n, line);
        if (!parsed.verb.empty())
            it.steps.push_back(std::move(parsed));
    }
    if (it.title.empty())
        return core::error{core::error_kind::malformed_request,
                           "line 1: write \"# \" and the title of the story"};
    return it;
}

std::string describe_mismatch(const step& of, const std::string& field,
                              const std::string& got,
                              const std::string& expected)
{
    return "line " + std::to_string(of.line) + ": " + field + " is " + got +
           ", expected " + expected;
}

core::result<std::chrono::milliseconds> parse_duration(std::string_view text)
{
    long n = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), n);
    const std::string_view unit(end, text.data() + text.size() - end);
    if (ec == std::errc() && unit == "ms")
        return std::chrono::milliseconds(n);
    if (ec == std::errc() && unit == "s")
        return std::chrono::milliseconds(std::chrono::seconds(n));
    return core::error{core::error_kind::malformed_request,
                       "\"" + std::string(text) +
                           "\" is not a duration; write a number with ms or s"};
}

}  // namespace scenario
