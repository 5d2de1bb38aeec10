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
    const settings& values;
    const section_map& sections;
    std::vector<problem>& problems;
};

/// Location of a key; empty if the section does not exist.
source_location find_location(const check_context& context,
                              const std::string& header, const std::string& key)
{
    const auto found = context.sections.find(header);
    return found == context.sections.end() ? source_location{}
                                           : location_of(found->second, key);
}

void add_problem(check_context& context, const std::string& header,
                 const std::string& key, std::string message)
{
    report(context.problems, find_location(context, header, key),
           std::move(message));
}

/// Checks that `key` of `header` names a section [TYPE.VALUE].
void check_reference(check_context& context, const std::string& header,
                     const std::string& key, const std::string& type,
                     const std::string& value)
{
    // A missing or malformed name is reported when it is read.
    if (!is_name(value) || context.sections.count(type + "." + value) > 0)
        return;
    add_problem(context, header, key,
                "there is no section [" + type + "." + value +
                    "]; add it or correct " + key);
}

void check_data_centres(check_context& context)
{
    for (const auto& [from, centre] : context.values.data_centres)
    {
        const auto header = "latency." + from.value;
        if (context.sections.count(header) > 0 &&
            context.sections.count("data_centre." + from.value) == 0)
            add_problem(context, header, "",
                        "there is no section [data_centre." + from.value +
                            "]; add it or remove [" + header + "]");
        for (const auto& [to, time] : centre.latency)
            if (!is_name(to.value))
                add_problem(context, header, to.value,
                            "\"" + to.value +
                                "\" is not the name of a data centre; correct "
                                "the key");
            else
                check_reference(context, header, to.value, "data_centre",
                                to.value);
    }
}

void check_hosts(check_context& context)
{
    for (const auto& [name, host] : context.values.hosts)
        check_reference(context, "host." + name.value, "data_centre",
                        "data_centre", host.data_centre.value);
}

void check_connections(check_context& context, const std::string& header,
                       const backend_server& server)
{
    // 0 stands for a missing or invalid number that is already reported.
    if (server.slots == 0 || server.connections == 0)
        return;
    const auto required = server.slots + control_connections;
    if (server.connections < required)
        add_problem(context, header, "connections",
                    std::to_string(server.connections) +
                        " connections are too few for " +
                        std::to_string(server.slots) +
                        " slots and 3 control connections; write at least " +
                        std::to_string(required) + " or lower slots");
}

void check_backend_servers(check_context& context)
{
    for (const auto& [name, server] : context.values.backend_servers)
    {
        const auto header = "backend_server." + name.value;
        check_reference(context, header, "group", "group", server.group.value);
        check_reference(context, header, "data_centre", "data_centre",
                        server.data_centre.value);
        check_connections(context, header, server);
    }
}

void check_groups(check_context& context)
{
    for (const auto& [name, group] : context.values.groups)
    {
        if (group.members.size() == group_size)
            continue;
        std::string list;
        for (const auto& member : group.members)
            list += (list.empty() ? " (" : ", ") + member.value;
        add_problem(context, "group." + name.value, "",
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

void check_address(check_context& context, address_map& used,
                   const core::endpoint& address, const source_location& at)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address.address, ec);
    if (ec || address.port == 0)
        return;
    const auto [other, added] =
        used.try_emplace({ip.to_string(), address.port}, at);
    if (!added)
        report(context.problems, at,
               core::to_string(address) + " is already used at " +
                   other->second.file + ":" +
                   std::to_string(other->second.line) +
                   "; give each use its own address and port");
}

void check_addresses(check_context& context)
{
    address_map used;
    check_address(context, used, context.values.platform.address,
                  find_location(context, "platform", "address"));
    for (const auto& [name, host] : context.values.hosts)
    {
        const auto header = "host." + name.value;
        check_address(context, used, {host.address, host.caller_port},
                      find_location(context, header, "caller_port"));
        check_address(context, used, {host.address, host.peer_port},
                      find_location(context, header, "peer_port"));
        // A different address may be the loopback address, which is local to
        // the machine of each host.
        if (host.admin_address == host.address)
            check_address(context, used, {host.address, host.admin_port},
                          find_location(context, header, "admin_port"));
    }
    for (const auto& [name, server] : context.values.backend_servers)
        check_address(
            context, used, server.address,
            find_location(context, "backend_server." + name.value, "address"));
}

std::string rank_header(core::rank rank)
{
    return "rank." + std::string(core::to_string(rank));
}

void check_shares(check_context& context)
{
    // Tolerates rounding errors in sums such as 0.1 + 0.2 + 0.7.
    constexpr double max_sum = 1.0 + 1e-9;
    double sum = 0;
    auto last = core::rank::urgent;
    for (const auto rank : core::all_ranks)
    {
        const auto share =
            context.values.ranks[core::index_of(rank)].minimum_share;
        sum += share;
        if (share > 0)
            last = rank;
    }
    if (sum > max_sum)
        add_problem(context, rank_header(last), "minimum_share",
                    "the minimum shares of all ranks sum to " +
                        format_number(sum * 100) +
                        "%; lower them to 100% or less");
}

/// Null if there is none. Servers whose number of slots is invalid, which is
/// already reported, are ignored.
const std::pair<const core::server_id, backend_server>*
server_with_fewest_slots(const settings& values)
{
    const std::pair<const core::server_id, backend_server>* found = nullptr;
    for (const auto& server : values.backend_servers)
        if (server.second.slots > 0 &&
            (!found || server.second.slots < found->second.slots))
            found = &server;
    return found;
}

void check_reserved_slots(check_context& context)
{
    for (const auto rank : {core::rank::interactive, core::rank::deferred})
        if (context.values.ranks[core::index_of(rank)].reserved_slots > 0)
            add_problem(
                context, rank_header(rank), "reserved_slots",
                "only rank urgent may reserve slots; remove the key and "
                "use minimum_share instead");
    const auto reserved =
        context.values.ranks[core::index_of(core::rank::urgent)].reserved_slots;
    const auto* smallest = server_with_fewest_slots(context.values);
    if (reserved == 0 || !smallest || reserved < smallest->second.slots)
        return;
    const auto slots = std::to_string(smallest->second.slots);
    add_problem(context, rank_header(core::rank::urgent), "reserved_slots",
                std::to_string(reserved) +
                    " reserved slots leave other ranks none of the " + slots +
                    " slots of backend server " + smallest->first.value +
                    "; write a number below " + slots);
}

void check_objectives(check_context& context)
{
    for (const auto rank : core::all_ranks)
    {
        const auto& entry = context.values.ranks[core::index_of(rank)];
        if (entry.latency_objective > entry.deadline)
            add_problem(context, rank_header(rank), "latency_objective",
                        "latency_objective is longer than the deadline of " +
                            format_duration(entry.deadline) +
                            "; lower it or raise deadline");
    }
}

void check_limits(check_context& context)
{
    const auto& limits = context.values.limits;
    if (limits.probe_after > limits.idle_age)
        add_problem(context, "limits", "probe_after",
                    "probe_after is longer than idle_age (" +
                        format_duration(limits.idle_age) +
                        "), so no connection would be probed; lower it");
}

void check_teams(check_context& context)
{
    std::map<std::string, std::string> team_of;
    for (const auto& [name, team] : context.values.teams)
        for (const auto& kind : team.kinds)
        {
            check_reference(context, "team." + name, "kinds", "kind", kind);
            const auto [other, added] = team_of.try_emplace(kind, name);
            if (!added)
                add_problem(context, "team." + name, "kinds",
                            "kind " + kind + " already belongs to team " +
                                other->second + "; remove it from one of them");
        }
}

void check_required_sections(check_context& context)
{
    if (context.sections.count("platform") == 0)
        add_problem(context, "", "",
                    "no file has the section [platform]; add it with \"address "
                    "= IP:PORT\"");
    if (context.values.hosts.empty())
        add_problem(context, "", "",
                    "no file has a section [host.NAME]; add one for each host");
    if (context.values.groups.empty())
        add_problem(context, "", "",
                    "no file has a section [group.NAME]; add one for each "
                    "database group");
    if (context.values.kinds.empty())
        add_problem(context, "", "",
                    "no file has a section [kind.NAME]; add one for each kind "
                    "of request");
}

std::string known_sections()
{
    std::vector<std::string> names;
    for (const auto& info : all_keys())
    {
        std::string name = "[";
        name += info.section;
        name += is_named_section(info.section) ? ".NAME]" : "]";
        if (names.empty() || names.back() != name)
            names.push_back(name);
    }
    std::string text;
    for (const auto& name : names)
        text.append(text.empty() ? "" : ", ").append(name);
    return text;
}

std::string known_keys(const std::string& section)
{
    std::string text;
    for (const auto& info : all_keys())
        if (info.section == section)
            text.append(text.empty() ? "" : ", ").append(info.key);
    return text;
}

std::string unknown_key(const std::string& header, const section& from,
                        const std::string& key)
{
    return "unknown key \"" + key + "\" in [" + header + "]; its keys are " +
           known_keys(from.type);
}

/// Error message for the header of a section; empty if the header is valid.
std::string header_error(const section& from)
{
    if (!is_section(from.type))
        return "unknown section [" + from.type + "]; write one of " +
               known_sections();
    if (!is_named_section(from.type))
        return from.name.empty()
                   ? ""
                   : "section [" + from.type + "] takes no name; remove \"." +
                         from.name + "\"";
    if (!is_name(from.name))
        return "section [" + from.type +
               ".NAME] needs a name of at most 32 letters, digits, '_' and "
               "'-'";
    if (from.type == "rank" && !core::parse_rank(from.name))
        return "unknown rank " + from.name +
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

void check_consistency(const settings& values, const section_map& sections,
                       std::vector<problem>& problems)
{
    check_context context{values, sections, problems};
    check_required_sections(context);
    check_data_centres(context);
    check_hosts(context);
    check_groups(context);
    check_backend_servers(context);
    check_addresses(context);
    check_shares(context);
    check_reserved_slots(context);
    check_objectives(context);
    check_limits(context);
    check_teams(context);
}

}  // namespace godwitbarrow::settings::detail
