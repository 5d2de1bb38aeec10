#include "validate.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

#include "godwitbarrow/settings/keys.hpp"
#include "godwitbarrow/settings/units.hpp"
#include "values.hpp"

namespace godwitbarrow::settings::detail
{
namespace
{

/// A group of three retains a majority when one member fails.
constexpr std::size_t group_size = 3;
/// Connections of a server reserved for the status polls by the owners of the
/// three servers of its group.
constexpr std::uint32_t control_connections = 3;

/// Inputs and output shared by the checks.
struct check_context
{
    const settings& it;
    const section_map& sections;
    std::vector<problem>& problems;
};

/// Location of a key; empty if the section does not exist.
source_location find_location(const check_context& in,
                              const std::string& header, const std::string& key)
{
    const auto found = in.sections.find(header);
    return found == in.sections.end() ? source_location{}
                                      : location_of(found->second, key);
}

void add_problem(check_context& in, const std::string& header,
                 const std::string& key, std::string message)
{
    report(in.problems, find_location(in, header, key), std::move(message));
}

/// Checks that `key` of `header` names a section [TYPE.VALUE].
void check_reference(check_context& in, const std::string& header,
                     const std::string& key, const std::string& type,
                     const std::string& value)
{
    // A missing or malformed name is reported when it is read.
    if (!is_name(value) || in.sections.count(type + "." + value) > 0)
        return;
    add_problem(in, header, key,
                "there is no section [" + type + "." + value +
                    "]; add it or correct " + key);
}

void check_data_centres(check_context& in)
{
    for (const auto& [from, centre] : in.it.data_centres)
    {
        const auto header = "latency." + from.value;
        if (in.sections.count(header) > 0 &&
            in.sections.count("data_centre." + from.value) == 0)
            add_problem(in, header, "",
                        "there is no section [data_centre." + from.value +
                            "]; add it or remove [" + header + "]");
        for (const auto& [to, time] : centre.latency)
            if (!is_name(to.value))
                add_problem(in, header, to.value,
                            "\"" + to.value +
                                "\" is not the name of a data centre; correct "
                                "the key");
            else
                check_reference(in, header, to.value, "data_centre", to.value);
    }
}

void check_hosts(check_context& in)
{
    for (const auto& [name, host] : in.it.hosts)
        check_reference(in, "host." + name.value, "data_centre", "data_centre",
                        host.data_centre.value);
}

void check_connections(check_context& in, const std::string& header,
                       const backend_server& server)
{
    // 0 stands for a missing or invalid number that is already reported.
    if (server.slots == 0 || server.connections == 0)
        return;
    const auto required = server.slots + control_connections;
    if (server.connections < required)
        add_problem(in, header, "connections",
                    std::to_string(server.connections) +
                        " connections are too few for " +
                        std::to_string(server.slots) +
                        " slots and 3 control connections; write at least " +
                        std::to_string(required) + " or lower slots");
}

void check_backend_servers(check_context& in)
{
    for (const auto& [name, server] : in.it.backend_servers)
    {
        const auto header = "backend_server." + name.value;
        check_reference(in, header, "group", "group", server.group.value);
        check_reference(in, header, "data_centre", "data_centre",
                        server.data_centre.value);
        check_connections(in, header, server);
    }
}

void check_groups(check_context& in)
{
    for (const auto& [name, group] : in.it.groups)
    {
        if (group.members.size() == group_size)
            continue;
        std::string list;
        for (const auto& member : group.members)
            list += (list.empty() ? " (" : ", ") + member.value;
        add_problem(in, "group." + name.value, "",
                    "group " + name.value + " has " +
                        std::to_string(group.members.size()) + " members" +
                        list + (list.empty() ? "" : ")") +
                        "; give exactly 3 sections [backend_server.NAME] the "
                        "key \"group = " +
                        name.value + "\"");
    }
}

using address_map =
    std::map<std::pair<std::string, std::uint16_t>, source_location>;

void check_address(check_context& in, address_map& used,
                   const core::endpoint& address, const source_location& at)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address.address, ec);
    if (ec || address.port == 0)
        return;
    const auto [other, added] =
        used.try_emplace({ip.to_string(), address.port}, at);
    if (!added)
        report(in.problems, at,
               core::to_string(address) + " is already used at " +
                   other->second.file + ":" +
                   std::to_string(other->second.line) +
                   "; give each use its own address and port");
}

void check_addresses(check_context& in)
{
    address_map used;
    check_address(in, used, in.it.platform.address,
                  find_location(in, "platform", "address"));
    for (const auto& [name, host] : in.it.hosts)
    {
        const auto header = "host." + name.value;
        check_address(in, used, {host.address, host.caller_port},
                      find_location(in, header, "caller_port"));
        check_address(in, used, {host.address, host.peer_port},
                      find_location(in, header, "peer_port"));
        // A different address may be the loopback address, which is local to
        // the machine of each host.
        if (host.admin_address == host.address)
            check_address(in, used, {host.address, host.admin_port},
                          find_location(in, header, "admin_port"));
    }
    for (const auto& [name, server] : in.it.backend_servers)
        check_address(
            in, used, server.address,
            find_location(in, "backend_server." + name.value, "address"));
}

std::string rank_header(core::rank it)
{
    return "rank." + std::string(core::to_string(it));
}

void check_shares(check_context& in)
{
    // Tolerates rounding errors in sums such as 0.1 + 0.2 + 0.7.
    constexpr double max_sum = 1.0 + 1e-9;
    double sum = 0;
    auto last = core::rank::urgent;
    for (const auto rank : core::all_ranks)
    {
        const auto share = in.it.ranks[core::index_of(rank)].minimum_share;
        sum += share;
        if (share > 0)
            last = rank;
    }
    if (sum > max_sum)
        add_problem(in, rank_header(last), "minimum_share",
                    "the minimum shares of all ranks sum to " +
                        format_number(sum * 100) +
                        "%; lower them to 100% or less");
}

/// Null if there is none. Servers whose number of slots is invalid, which is
/// already reported, are ignored.
const std::pair<const core::server_id, backend_server>*
server_with_fewest_slots(const settings& it)
{
    const std::pair<const core::server_id, backend_server>* found = nullptr;
    for (const auto& server : it.backend_servers)
        if (server.second.slots > 0 &&
            (!found || server.second.slots < found->second.slots))
            found = &server;
    return found;
}

void check_reserved_slots(check_context& in)
{
    for (const auto rank : {core::rank::interactive, core::rank::deferred})
        if (in.it.ranks[core::index_of(rank)].reserved_slots > 0)
            add_problem(
                in, rank_header(rank), "reserved_slots",
                "only rank urgent may reserve slots; remove the key and "
                "use minimum_share instead");
    const auto reserved =
        in.it.ranks[core::index_of(core::rank::urgent)].reserved_slots;
    const auto* smallest = server_with_fewest_slots(in.it);
    if (reserved == 0 || !smallest || reserved < smallest->second.slots)
        return;
    const auto slots = std::to_string(smallest->second.slots);
    add_problem(in, rank_header(core::rank::urgent), "reserved_slots",
                std::to_string(reserved) +
                    " reserved slots leave other ranks none of the " + slots +
                    " slots of backend server " + smallest->first.value +
                    "; write a number below " + slots);
}

void check_objectives(check_context& in)
{
    for (const auto rank : core::all_ranks)
    {
        const auto& it = in.it.ranks[core::index_of(rank)];
        if (it.latency_objective > it.deadline)
            add_problem(in, rank_header(rank), "latency_objective",
                        "latency_objective is longer than the deadline of " +
                            format_duration(it.deadline) +
                            "; lower it or raise deadline");
    }
}

void check_limits(check_context& in)
{
    const auto& it = in.it.limits;
    if (it.probe_after > it.idle_age)
        add_problem(in, "limits", "probe_after",
                    "probe_after is longer than idle_age (" +
                        format_duration(it.idle_age) +
                        "), so no connection would be probed; lower it");
}

void check_teams(check_context& in)
{
    std::map<std::string, std::string> team_of;
    for (const auto& [name, team] : in.it.teams)
        for (const auto& kind : team.kinds)
        {
            check_reference(in, "team." + name, "kinds", "kind", kind);
            const auto [other, added] = team_of.try_emplace(kind, name);
            if (!added)
                add_problem(in, "team." + name, "kinds",
                            "kind " + kind + " already belongs to team " +
                                other->second + "; remove it from one of them");
        }
}

void check_required_sections(check_context& in)
{
    if (in.sections.count("platform") == 0)
        add_problem(in, "", "",
                    "no file has the section [platform]; add it with \"address "
                    "= IP:PORT\"");
    if (in.it.hosts.empty())
        add_problem(in, "", "",
                    "no file has a section [host.NAME]; add one for each host");
    if (in.it.groups.empty())
        add_problem(in, "", "",
                    "no file has a section [group.NAME]; add one for each "
                    "database group");
    if (in.it.kinds.empty())
        add_problem(in, "", "",
                    "no file has a section [kind.NAME]; add one for each kind "
                    "of request");
}

std::string known_sections()
{
    std::vector<std::string> names;
    for (const auto& it : all_keys())
    {
        std::string name = "[";
        name += it.section;
        name += is_named_section(it.section) ? ".NAME]" : "]";
        if (names.empty() || names.back() != name)
            names.push_back(name);
    }
    std::string text;
    for (const auto& it : names)
        text.append(text.empty() ? "" : ", ").append(it);
    return text;
}

std::string known_keys(const std::string& section)
{
    std::string text;
    for (const auto& it : all_keys())
        if (it.section == section)
            text.append(text.empty() ? "" : ", ").append(it.key);
    return text;
}

std::string unknown_key(const std::string& header, const section& from,
                        const std::string& key)
{
    return "unknown key \"" + key + "\" in [" + header + "]; its keys are " +
           known_keys(from.type);
}

/// Error message for the header of a section; empty if the header is valid.
std::string header_error(const section& it)
{
    if (!is_section(it.type))
        return "unknown section [" + it.type + "]; write one of " +
               known_sections();
    if (!is_named_section(it.type))
        return it.name.empty()
                   ? ""
                   : "section [" + it.type + "] takes no name; remove \"." +
                         it.name + "\"";
    if (!is_name(it.name))
        return "section [" + it.type +
               ".NAME] needs a name of at most 32 letters, digits, '_' and "
               "'-'";
    if (it.type == "rank" && !core::parse_rank(it.name))
        return "unknown rank " + it.name +
               "; write [rank.urgent], [rank.interactive] or [rank.deferred]";
    return "";
}

}  // namespace

void check_names(const section_map& sections, std::vector<problem>& problems)
{
    for (const auto& [header, from] : sections)
    {
        const auto error = header_error(from);
        if (!error.empty())
            report(problems, from.at, error);
        if (!is_section(from.type))
            continue;
        for (const auto& [key, value] : from.entries)
            if (!find_key(from.type, key))
                report(problems, value.at, unknown_key(header, from, key));
    }
}

void check_consistency(const settings& it, const section_map& sections,
                       std::vector<problem>& problems)
{
    check_context in{it, sections, problems};
    check_required_sections(in);
    check_data_centres(in);
    check_hosts(in);
    check_groups(in);
    check_backend_servers(in);
    check_addresses(in);
    check_shares(in);
    check_reserved_slots(in);
    check_objectives(in);
    check_limits(in);
    check_teams(in);
}

}  // namespace godwitbarrow::settings::detail
