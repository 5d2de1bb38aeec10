#include "membership_runner.hpp"

#include "group_runner.hpp"
#include "peers.hpp"
#include "roles.hpp"
#include "settings_runner.hpp"
#include "views.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

membership::host_entry to_entry(const settings::settings& of,
                                const core::host_id& id,
                                const settings::host& host)
{
    membership::host_entry it;
    it.host = id;
    it.data_centre = host.data_centre;
    it.region = place_of(of, host.data_centre).region;
    it.peer_endpoint = {host.address, host.peer_port};
    return it;
}

// Hosts that the settings do not name are left out: their addresses are
// unknown.
membership::host_list to_host_list(const settings::settings& of,
                                   const store::host_list& from)
{
    membership::host_list it;
    it.version = from.version;
    for (const auto& n : from.entries)
    {
        const bool leaving = n.state == store::host_state::leaving;
        if (n.kind == store::host_kind::backend_server)
        {
            if (leaving)
                it.leaving_servers.push_back({n.name});
            continue;
        }
        const auto host = of.hosts.find({n.name});
        if (host == of.hosts.end())
            continue;
        it.hosts.push_back(to_entry(of, host->first, host->second));
        it.hosts.back().leaving = leaving;
    }
    return it;
}

void perform_one(app& it, const membership::read_host_list&)
{
    store::list_hosts(
        it.store,
        [&it](const core::result<store::host_list>& list)
        {
            if (!ok(list))
            {
                telemetry::count_store_error(*it.metrics, "list_hosts");
                return post(it, membership::host_list_read{
                                    std::get<core::error>(list)});
            }
            post(it,
                 membership::host_list_read{to_host_list(
                     *current_settings(it), std::get<store::host_list>(list))});
        });
}

void perform_one(app& it, const membership::send_summary& what)
{
    send_to(it, what.to, what.content);
}

void perform_one(app& it, const membership::send_request& what)
{
    send_to(it, what.to, what.content);
}

void perform_one(app& it, const membership::send_news& what)
{
    send_to(it, what.to, what.content);
}

void perform_one(app& it, const membership::send_whole_settings& what)
{
    send_whole_settings(it, what.to);
}

void perform_one(app& it, const membership::ask_probe& what)
{
    send_to(it, what.via, peer::probe{0, what.target});
}

void perform_one(app& it, const membership::probe_host& what)
{
    probe_host(it, what.target,
               [&it, what](bool reachable)
               {
                   if (what.answer_to == it.self)
                       post(it, membership::probe_answered{it.self, what.target,
                                                           reachable});
                   else
                       send_to(it, what.answer_to,
                               peer::probe_answer{0, what.target, reachable});
               });
}

// Takes the latest announcement: two workers may perform two changes in the
// wrong order.
void perform_one(app& it, const membership::hosts_changed&)
{
    {
        std::lock_guard lock(it.hosts.mutex);
        const auto& what = it.hosts.membership.announced;
        it.hosts.usable.clear();
        for (const auto& n : what.hosts)
            it.hosts.usable.push_back(
                {n.host, {n.data_centre, n.region}, n.leaving, false});
        it.hosts.without_contact.clear();
        for (const auto& [host, servers] : what.unreachable)
            for (const auto& n : servers)
                it.hosts.without_contact[n].push_back(host);
    }
    refresh_roles(it);
}

void perform_one(app& it, const membership::server_leaving& what)
{
    {
        std::lock_guard lock(it.hosts.mutex);
        if (what.leaving)
            it.hosts.leaving_servers.insert(what.server);
        else
            it.hosts.leaving_servers.erase(what.server);
    }
    telemetry::log_event(
        telemetry::log_level::info, "backend server leaving",
        {{"server", what.server}, {"leaving", what.leaving ? "yes" : "no"}});
    refresh_roles(it);
}

void perform_one(app& it, const membership::apply_settings& what)
{
    apply_from_peer(it, what.content);
}

void perform_one(app& it, const membership::apply_view& what)
{
    if (const auto group = find_group(it, what.content.group))
        learn_view(it, group, what.content.version,
                   decode_primary(what.content.content));
}

void schedule_tick(app& it, std::chrono::milliseconds interval)
{
    it.membership_timer.expires_after(interval);
    it.membership_timer.async_wait(
        [&it, interval](boost::system::error_code ec)
        {
            if (ec)
                return;
            post(it, membership::tick{});
            schedule_tick(it, interval);
        });
}

}  // namespace
}  // namespace detail

void post(app& it, const membership::event& what)
{
    std::vector<membership::action> actions;
    {
        std::lock_guard lock(it.hosts.mutex);
        actions = membership::decide(it.hosts.membership, what,
                                     core::runtime_clock::now());
    }
    for (const auto& action : actions)
        std::visit([&](const auto& n) { detail::perform_one(it, n); }, action);
}

void prepare_membership(app& it)
{
    const auto settings = current_settings(it);
    std::vector<membership::host_entry> seeds;
    membership::host_entry self;
    for (const auto& [id, host] : settings->hosts)
    {
        auto n = detail::to_entry(*settings, id, host);
        if (id == it.self)
            self = std::move(n);
        else
            seeds.push_back(std::move(n));
    }
    std::lock_guard lock(it.hosts.mutex);
    it.hosts.membership =
        membership::make_state(self, seeds, core::runtime_clock::now());
}

void start_membership(app& it)
{
    std::chrono::milliseconds interval{0};
    {
        std::lock_guard lock(it.hosts.mutex);
        interval = it.hosts.membership.bounds.tick_interval;
    }
    post(it, membership::tick{});
    detail::schedule_tick(it, interval);
}

}  // namespace godwitbarrow::proxy
