#include "godwitbarrow/settings/file_set.hpp"

#include <algorithm>
#include <array>
#include <boost/uuid/detail/sha1.hpp>
#include <charconv>
#include <fstream>
#include <iterator>
#include <string_view>

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

namespace fs = std::filesystem;

core::error make_error(core::error_kind kind, std::string message)
{
    return {kind, std::move(message)};
}

bool is_settings_file(const fs::directory_entry& entry)
{
    std::error_code ec;
    const auto name = entry.path().filename().string();
    return entry.is_regular_file(ec) && entry.path().extension() == ".ini" &&
           name.front() != '.';
}

core::result<std::string> read_file(const fs::path& path)
{
    std::error_code ec;
    const auto size = fs::file_size(path, ec);
    if (!ec && size > max_file_size)
        return make_error(core::error_kind::invalid_settings,
                          path.string() + " is larger than 1 MiB; split it");
    std::ifstream in(path, std::ios::binary);
    std::string content(ec ? 0 : size, '\0');
    in.read(content.data(), static_cast<std::streamsize>(content.size()));
    if (ec || !in.is_open() || in.bad())
        return make_error(
            core::error_kind::invalid_settings,
            path.string() + " cannot be read; check its permissions");
    content.resize(static_cast<std::size_t>(in.gcount()));
    return content;
}

std::string to_hex(const unsigned int (&words)[5])
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const auto word : words)
        for (int shift = 28; shift >= 0; shift -= 4)
            text += digits[(word >> shift) & 0xF];
    return text;
}

/// Appends the text with its length as a prefix, so that different file sets
/// have different encodings.
void append_field(std::string& out, std::string_view text)
{
    out += std::to_string(text.size()) + ":";
    out += text;
}

/// Removes one length-prefixed text from the front; nullopt if malformed.
std::optional<std::string> read_field(std::string_view& in)
{
    std::size_t n = 0;
    const auto [end, ec] = std::from_chars(in.data(), in.data() + in.size(), n);
    const auto used = static_cast<std::size_t>(end - in.data());
    if (ec != std::errc() || used >= in.size() || in[used] != ':')
        return std::nullopt;
    in.remove_prefix(used + 1);
    if (n > in.size())
        return std::nullopt;
    std::string text(in.substr(0, n));
    in.remove_prefix(n);
    return text;
}

}  // namespace
}  // namespace detail

core::result<file_set> read_folder(const std::filesystem::path& folder)
{
    std::error_code ec;
    std::filesystem::directory_iterator it(folder, ec);
    file_set files;
    std::uint64_t size = 0;
    for (; !ec && it != std::filesystem::directory_iterator(); it.increment(ec))
    {
        if (!detail::is_settings_file(*it))
            continue;
        auto content = detail::read_file(it->path());
        if (!core::ok(content))
            return std::get<core::error>(content);
        const auto name = it->path().filename().string();
        files[name] = std::get<std::string>(std::move(content));
        size += files[name].size();
        if (files.size() > max_files || size > max_set_size)
            return detail::make_error(
                core::error_kind::invalid_settings,
                folder.string() +
                    " has more than 20000 files or 16 MiB; "
                    "move unused files elsewhere");
    }
    if (ec)
        return detail::make_error(core::error_kind::not_found,
                                  folder.string() + " cannot be read (" +
                                      ec.message() +
                                      "); check that the folder exists");
    return files;
}

std::string digest(const file_set& files)
{
    boost::uuids::detail::sha1 sha;
    const auto text = encode_file_set(files);
    sha.process_bytes(text.data(), text.size());
    unsigned int words[5];
    sha.get_digest(words);
    return detail::to_hex(words);
}

settings_delta make_delta(generation_number from, generation_number to,
                          const file_set& older, const file_set& newer)
{
    settings_delta delta{from, to, digest(older), digest(newer), {}};
    for (const auto& [name, content] : older)
        if (newer.count(name) == 0)
            delta.changes[name] = std::nullopt;
    for (const auto& [name, content] : newer)
    {
        const auto old = older.find(name);
        if (old == older.end() || old->second != content)
            delta.changes[name] = content;
    }
    return delta;
}

core::result<file_set> apply_delta(const file_set& files,
                                   const settings_delta& delta)
{
    if (digest(files) != delta.from_digest)
        return detail::make_error(
            core::error_kind::conflict,
            "the delta does not start from the local file "
            "set of generation " +
                std::to_string(delta.from) + "; request the full file set");
    file_set updated = files;
    for (const auto& [name, content] : delta.changes)
    {
        if (content)
            updated[name] = *content;
        else
            updated.erase(name);
    }
    if (digest(updated) != delta.to_digest)
        return detail::make_error(core::error_kind::protocol_error,
                                  "applying the delta does not produce the "
                                  "announced file set of generation " +
                                      std::to_string(delta.to) +
                                      "; request the full file set");
    return updated;
}

std::string encode_file_set(const file_set& files)
{
    std::string out;
    for (const auto& [name, content] : files)
    {
        detail::append_field(out, name);
        detail::append_field(out, content);
    }
    return out;
}

core::result<file_set> decode_file_set(const std::string& text)
{
    file_set files;
    std::string_view rest = text;
    while (!rest.empty())
    {
        auto name = detail::read_field(rest);
        auto content = name ? detail::read_field(rest) : std::nullopt;
        if (!content)
            return detail::make_error(
                core::error_kind::protocol_error,
                "the object is not a file set; publish the "
                "folder again");
        files[*name] = std::move(*content);
    }
    return files;
}

}  // namespace godwitbarrow::settings
