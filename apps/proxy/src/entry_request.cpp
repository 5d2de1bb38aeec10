#include "entry_request.hpp"

#include <algorithm>
#include <limits>

#include "godwitbarrow/routing/candidates.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

const std::pair<const std::string, settings::team>* team_of(
    const settings::settings& of, const std::string& kind)
{
    for (const auto& n : of.teams)
        if (std::count(n.second.kinds.begin(), n.second.kinds.end(), kind) > 0)
            return &n;
    return nullptr;
}

void release_team(app& it, const settings::settings& of,
                  const std::string& kind)
{
    const auto* n = team_of(of, kind);
    if (n == nullptr)
        return;
    std::lock_guard lock(it.settings.mutex);
    auto& load = it.settings.team_load[n->first];
    load = load > 0 ? load - 1 : 0;
}

routing::latency_estimates known_latency(const settings::settings& of,
                                         const core::data_centre_id& local)
{
    routing::latency_estimates it;
    const auto n = of.data_centres.find(local);
    if (n != of.data_centres.end())
        it.one_way = n->second.latency;
    return it;
}

// A caller that accepts an age gets it from replicas only if the settings
// allow replicas to serve reads.
void keep_primary_only(std::vector<core::server_id>& candidates,
                       const std::optional<core::server_id>& primary)
{
    candidates.clear();
    if (primary)
        candidates.push_back(*primary);
}

void count_reader(app& it, const core::request& what,
                  const core::completed& result)
{
    if (what.access != core::access_mode::read)
        return;
    const auto group = find_group(it, what.group);
    if (!group)
        return;
    std::unique_lock lock(group->mutex);
    const bool primary = group->serving.view.primary == result.server;
    lock.unlock();
    telemetry::count_read(*it.metrics, primary ? core::member_role::primary
                                               : core::member_role::replica);
}

}  // namespace
}  // namespace detail

std::optional<core::error> complete_request(const settings::settings& of,
                                            gateway::parsed_request& it)
{
    const auto kind = of.kinds.find(it.request.kind);
    if (kind == of.kinds.end())
        return core::error{
            core::error_kind::unknown_kind,
            "kind \"" + it.request.kind +
                "\" is not in the settings; use a kind that they name or add "
                "a section [kind." +
                it.request.kind + "]"};
    if (of.groups.count(it.request.group) == 0)
        return core::error{
            core::error_kind::unknown_group,
            "group \"" + it.request.group.value +
                "\" is not in the settings; use a group that they name or "
                "add a section [group." +
                it.request.group.value + "]"};
    it.request.importance = kind->second.importance;
    if (!it.stated_deadline)
        it.request.deadline =
            core::runtime_clock::now() +
            of.ranks[core::index_of(it.request.importance)].deadline;
    return std::nullopt;
}

std::optional<core::error> check_token_room(const session::token& it,
                                            const core::group_id& group)
{
    auto fullest = it;
    constexpr auto highest = std::numeric_limits<std::uint64_t>::max();
    session::advance(fullest, group, {highest, highest});
    const auto encoded = session::encode(fullest);
    if (ok(encoded))
        return std::nullopt;
    return core::error{core::error_kind::request_too_large,
                       "the session token has no room for group \"" +
                           group.value +
                           "\"; start a session with an empty token for it"};
}

std::vector<core::server_id> list_candidates(app& it,
                                             const settings::settings& of,
                                             const group_ptr& group,
                                             const core::request& what)
{
    std::optional<core::server_id> primary;
    {
        std::lock_guard lock(group->mutex);
        primary = group->serving.view.primary;
    }
    const auto local = of.hosts.at(it.self).data_centre;
    std::vector<routing::member_entry> members;
    {
        std::lock_guard lock(it.hosts.mutex);
        for (const auto& n : of.groups.at(group->id).members)
            members.push_back(
                {n, place_of(of, of.backend_servers.at(n).data_centre),
                 it.hosts.leaving_servers.count(n) > 0,
                 it.hosts.without_contact.count(n) > 0});
    }
    auto candidates =
        routing::candidate_servers(what, members, primary, place_of(of, local),
                                   detail::known_latency(of, local));
    if (of.limits.reads == settings::read_policy::primary_only)
        detail::keep_primary_only(candidates, primary);
    return candidates;
}

core::request_id attempt_request_id(app& it, const core::request_id& caller_id,
                                    unsigned attempt)
{
    const auto n = it.next_request.fetch_add(1);
    return {it.self.value + "." + std::to_string(it.incarnation) + "." +
            std::to_string(n) + "." + std::to_string(attempt) + "/" +
            caller_id.value};
}

std::optional<core::host_id> host_of_transaction(const core::transaction_id& it)
{
    const auto slash = it.value.rfind('/');
    if (slash == std::string::npos || slash == 0)
        return std::nullopt;
    return core::host_id{it.value.substr(0, slash)};
}

bool admit_team(app& it, const settings_ptr& of, const std::string& kind)
{
    const auto* n = detail::team_of(*of, kind);
    if (n == nullptr)
        return true;
    std::lock_guard lock(it.settings.mutex);
    auto& load = it.settings.team_load[n->first];
    if (load >= n->second.limit)
        return false;
    ++load;
    return true;
}

core::outcome team_limit_reached(const std::string& kind)
{
    return core::not_run{{core::error_kind::overloaded,
                          "the team of kind \"" + kind +
                              "\" has its limit of requests in flight on "
                              "this host; repeat after the pause"},
                         std::chrono::milliseconds(250)};
}

void count_result(app& it, const settings_ptr& of, const core::request& what,
                  const core::outcome& result, core::time_point started)
{
    detail::release_team(it, *of, what.kind);
    telemetry::count_request(*it.metrics, what.importance,
                             telemetry::classify(result),
                             core::runtime_clock::now() - started);
    if (const auto* n = std::get_if<core::completed>(&result))
        detail::count_reader(it, what, *n);
}

void log_result(const core::request_id& caller_id, const core::request& what,
                const core::outcome& result)
{
    using telemetry::log_level;
    if (const auto* done = std::get_if<core::completed>(&result))
        return telemetry::log_event(log_level::debug, "request completed",
                                    {{"request_id", caller_id},
                                     {"group", what.group},
                                     {"term", done->at.term},
                                     {"server", done->server}});
    const auto* refused = std::get_if<core::not_run>(&result);
    const auto& reason = refused != nullptr
                             ? refused->reason
                             : std::get<core::outcome_unknown>(result).reason;
    telemetry::log_event(
        refused != nullptr ? log_level::debug : log_level::warning,
        refused != nullptr ? "request not run" : "request outcome unknown",
        {{"request_id", caller_id},
         {"group", what.group},
         {"error", core::to_string(reason.kind)},
         {"reason", reason.message}});
}

}  // namespace godwitbarrow::proxy
