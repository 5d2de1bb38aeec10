#pragma once

#include <algorithm>

#include "deployment.hpp"
#include "pooled/owner_watch.hpp"

/// Fixture: four hosts that share members with too few connections for all, so
/// that three of them own the group.
namespace godwitbarrow::test
{

struct owner_fleet : deployment
{
    struct running_host
    {
        std::unique_ptr<proxy::pooled::app> app;
        std::thread thread;
    };

    const core::group_id group{"quotes"};
    std::vector<running_host> hosts;

    /// `prepare` runs before the hosts start.
    explicit owner_fleet(
        const std::vector<std::string>& names = {"host-2", "host-3", "host-4",
                                                 "host-5"},
        const std::function<void(store_standin&)>& prepare = [](auto&) {})
    {
        at_standins(
            [&]
            {
                prepare(store);
                configure(2, 0, 6);
            });
        for (const auto& name : names)
            add_host(name);
        for (auto& it : hosts)
            wait_until([&] { return is_settled(*it.app); });
    }

    ~owner_fleet()
    {
        for (auto& it : hosts)
            stop(it);
    }

    void add_host(const std::string& name)
    {
        auto settings = host->settings;
        settings.name = {name};
        settings.peers = local(0);
        running_host it;
        it.app = std::make_unique<proxy::pooled::app>(std::move(settings));
        BOOST_REQUIRE(ok(proxy::pooled::start(*it.app)));
        it.thread = std::thread([app = it.app.get()]
                                { proxy::pooled::run_workers(*app); });
        hosts.push_back(std::move(it));
    }

    /// Ends the host as a loss of power does.
    static void stop(running_host& it)
    {
        if (!it.app)
            return;
        it.app->io.stop();
        it.thread.join();
        it.app.reset();
    }

    static std::uint16_t port_of(const running_host& it)
    {
        return it.app->acceptor.local_endpoint().port();
    }

    /// Whether the host knows the owners and has a link to each.
    bool is_settled(proxy::pooled::app& it) const
    {
        std::lock_guard lock(it.relays.mutex);
        const auto g = it.relays.groups.find(group);
        if (g == it.relays.groups.end() || g->second.owners.size() != 3)
            return false;
        return std::all_of(g->second.owners.begin(), g->second.owners.end(),
                           [&](const auto& owner)
                           {
                               return owner.host == it.settings.name ||
                                      it.relays.peers[owner.host].linked;
                           });
    }

    /// The host that is no owner.
    running_host& entry()
    {
        for (auto& it : hosts)
            if (it.app && !proxy::pooled::serves_group(*it.app, group))
                return it;
        BOOST_FAIL("all hosts are owners");
        return hosts.front();
    }

    std::vector<running_host*> owners()
    {
        std::vector<running_host*> out;
        const auto* other = &entry();
        for (auto& it : hosts)
            if (&it != other)
                out.push_back(&it);
        return out;
    }

    /// The owner that serves the only relayed session of the entry host.
    running_host& owner_in_use()
    {
        core::host_id name;
        {
            auto& relays = entry().app->relays;
            std::lock_guard lock(relays.mutex);
            BOOST_REQUIRE(relays.outbound.size() == 1U);
            name = relays.outbound.begin()->second.owner;
        }
        const auto it = std::find_if(hosts.begin(), hosts.end(),
                                     [&](const auto& n)
                                     { return n.app->settings.name == name; });
        BOOST_REQUIRE((it != hosts.end()));
        return *it;
    }

    static std::size_t member_connections(const running_host& it)
    {
        std::lock_guard lock(it.app->decisions.mutex);
        return it.app->decisions.state.connections.size();
    }

    unsigned writes()
    {
        unsigned out = 0;
        at_standins([&] { out = data->writes; });
        return out;
    }
};

}  // namespace godwitbarrow::test
