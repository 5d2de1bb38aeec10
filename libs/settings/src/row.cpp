#include "godwitbarrow/settings/row.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

core::error malformed_row()
{
    return {core::error_kind::protocol_error,
            "the row settings/current is malformed; check that nothing but "
            "godwitbarrow writes it, delete it and publish the folder again"};
}

std::vector<std::string> split_words(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> words;
    for (std::string word; in >> word;)
        words.push_back(word);
    return words;
}

/// Reads one line into the row; false if its value is malformed.
bool read_line(settings_row& to, const std::string& key,
               const std::string& value)
{
    if (key == "publisher")
        to.publisher.value = value;
    else if (key == "attempt")
        to.attempt.value = value;
    else if (key == "digests")
        to.digests = split_words(value);
    else if (key == "generation")
    {
        const auto end = value.data() + value.size();
        const auto [stop, ec] =
            std::from_chars(value.data(), end, to.generation);
        return ec == std::errc() && stop == end;
    }
    // Unknown keys are ignored: a newer version of the program may add keys.
    return true;
}

bool is_consistent(const settings_row& row)
{
    return row.generation > 0 && !row.digests.empty() &&
           row.digests.size() <= row.generation && !row.attempt.value.empty();
}

}  // namespace
}  // namespace detail

std::optional<std::string> digest_of(const settings_row& row,
                                     generation_number generation)
{
    if (generation > row.generation)
        return std::nullopt;
    const auto age = row.generation - generation;
    if (age >= row.digests.size())
        return std::nullopt;
    return row.digests[row.digests.size() - 1 - age];
}

std::string current_digest(const settings_row& row)
{
    return row.digests.empty() ? "" : row.digests.back();
}

bool is_older_digest(const settings_row& row, const std::string& digest)
{
    if (row.digests.empty())
        return false;
    const auto newest = row.digests.end() - 1;
    return std::find(row.digests.begin(), newest, digest) != newest;
}

bool has_complete_history(const settings_row& row)
{
    return row.digests.size() >= row.generation;
}

settings_row next_row(const settings_row& row, const std::string& digest,
                      const core::host_id& publisher,
                      const core::attempt_id& attempt)
{
    settings_row next{row.generation + 1, publisher, attempt, row.digests};
    next.digests.push_back(digest);
    if (next.digests.size() > max_row_digests)
        next.digests.erase(next.digests.begin());
    return next;
}

std::string encode_row(const settings_row& row)
{
    std::string digests;
    for (const auto& digest : row.digests)
        digests += " " + digest;
    return "generation " + std::to_string(row.generation) + "\npublisher " +
           row.publisher.value + "\nattempt " + row.attempt.value +
           "\ndigests" + digests + "\n";
}

core::result<settings_row> decode_row(const std::string& text)
{
    settings_row row;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
    {
        const auto space = line.find(' ');
        if (space == std::string::npos ||
            !detail::read_line(row, line.substr(0, space),
                               line.substr(space + 1)))
            return detail::malformed_row();
    }
    if (!detail::is_consistent(row))
        return detail::malformed_row();
    return row;
}

}  // namespace godwitbarrow::settings
