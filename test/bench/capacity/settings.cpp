#include "godwitbarrow/settings/settings.hpp"

#include "capacity.hpp"
#include "godwitbarrow/peer/messages.hpp"

namespace godwitbarrow::capacity
{
namespace
{

std::string group_file(std::size_t n)
{
    std::string text = "[group." + group_name(n).value +
                       "]\ndescription = Quotes of the north\n";
    for (std::size_t m = 0; m < 3; ++m)
        text += "\n[backend_server." + member_name(n, m).value +
                "]\ngroup = " + group_name(n).value +
                "\naddress = 127.0.0.1:" + std::to_string(10000 + 3 * n + m) +
                "\ndata_centre = casablanca\nslots = 2\nconnections = 15\n";
    return text;
}

settings::file_set make_files(std::size_t groups)
{
    settings::file_set it{
        {"00-platform.ini", "[platform]\naddress = 127.0.0.1:21000\n"},
        {"10-places.ini", "[data_centre.casablanca]\nregion = north\n"},
        {"20-hosts.ini",
         "[host.entry-1]\naddress = 127.0.0.1\ncaller_port = 21100\n"
         "peer_port = 21200\nadmin_port = 21300\ndata_centre = casablanca\n"},
        {"40-kinds.ini", "[kind.quote]\nrank = urgent\nworth = 50\n"}};
    for (std::size_t i = 0; i < groups; ++i)
        it["30-" + group_name(i).value + ".ini"] = group_file(i);
    return it;
}

/// A delta that changes one file of `older`.
settings::settings_delta change_one(const settings::file_set& older)
{
    auto newer = older;
    newer["30-" + group_name(0).value + ".ini"] += "; changed\n";
    return settings::make_delta(1, 2, older, newer);
}

std::size_t set_bytes(std::size_t n)
{
    return settings::encode_file_set(make_files(n)).size();
}

std::chrono::nanoseconds parse_time(std::size_t n)
{
    const auto files = make_files(n);
    return processor_time(
        [&]
        {
            const auto it = settings::parse_settings(files);
            require(std::holds_alternative<settings::settings>(it),
                    "the settings are valid");
        });
}

std::size_t delta_bytes(std::size_t n)
{
    const auto it = change_one(make_files(n));
    peer::settings_delta message{it.from, it.to, 0, 1, {}, {}, it.to_digest};
    for (const auto& [name, content] : it.changes)
        message.changed.push_back({name, content.value()});
    return peer::encode(message).size();
}

/// Includes a copy of the files.
std::chrono::nanoseconds delta_time(std::size_t n)
{
    const auto files = make_files(n);
    return processor_time([&] { change_one(files); });
}

}  // namespace

std::vector<series> measure_settings()
{
    const std::vector<std::size_t> sizes{30, 300, 3000};
    return {sweep("settings set", "group", sizes, set_bytes),
            sweep("processor time to parse a settings set", "group", sizes,
                  parse_time),
            sweep("delta of one file", "group", sizes, delta_bytes),
            sweep("processor time to make a delta of one file", "group", sizes,
                  delta_time)};
}

}  // namespace godwitbarrow::capacity
