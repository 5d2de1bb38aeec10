#include <optional>
#include <string_view>

#include "godwitbarrow/settings/keys.hpp"
#include "godwitbarrow/settings/settings.hpp"
#include "godwitbarrow/tool/commands.hpp"

namespace godwitbarrow::tool
{
namespace detail
{
namespace
{

std::optional<settings::file_set> read(const std::string& folder,
                                       const output& to)
{
    if (folder.empty())
    {
        to.errors << "no folder is given; write --folder=DIR\n";
        return std::nullopt;
    }
    auto files = settings::read_folder(folder);
    if (core::ok(files))
        return std::get<settings::file_set>(std::move(files));
    to.errors << std::get<core::error>(files).message << '\n';
    return std::nullopt;
}

}  // namespace
}  // namespace detail

int check(const std::string& folder, bool show, const output& to)
{
    const auto files = detail::read(folder, to);
    if (!files)
        return 1;
    const auto parsed = settings::parse_settings(*files);
    if (const auto* it = std::get_if<settings::settings>(&parsed))
    {
        if (show)
            to.result << settings::to_text(*it);
        else
            to.result << folder << ": valid, " << files->size()
                      << " files, digest " << settings::digest(*files) << '\n';
        return 0;
    }
    for (const auto& it : std::get<std::vector<settings::problem>>(parsed))
        to.errors << settings::to_string(it) << '\n';
    return 1;
}

int digest(const std::string& folder, const output& to)
{
    const auto files = detail::read(folder, to);
    if (!files)
        return 1;
    to.result << settings::digest(*files) << '\n';
    return 0;
}

int keys(const output& to)
{
    std::string_view section;
    for (const auto& it : settings::all_keys())
    {
        if (it.section != section)
            to.result << "\n[" << it.section
                      << (settings::is_named_section(it.section) ? ".NAME]"
                                                                 : "]")
                      << "\n\n";
        section = it.section;
        to.result << settings::documentation_row(it) << '\n';
    }
    return 0;
}

}  // namespace godwitbarrow::tool
