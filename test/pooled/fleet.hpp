#pragma once

#include <algorithm>

#include "deployment.hpp"
#include "pooled/configuration_exchange.hpp"
#include "pooled/mesh.hpp"

/// Fixture: hosts that are linked to each other, and their store.
namespace godwitbarrow::test
{

struct fleet_host
{
    std::unique_ptr<proxy::pooled::app> app;
    std::thread thread;

    /// `prepare` runs before the host starts.
    explicit fleet_host(const proxy::pooled::host_settings& settings,
                        const std::function<void(proxy::pooled::app&)>& prepare)
        : app(std::make_unique<proxy::pooled::app>(settings))
    {
        prepare(*app);
        BOOST_REQUIRE(ok(proxy::pooled::start(*app)));
        thaw();
    }

    ~fleet_host()
    {
        if (thread.joinable())
            freeze();
    }

    /// Stops all work of the host; its connections stay open.
    void freeze()
    {
        app->io.stop();
        thread.join();
    }

    void thaw()
    {
        app->io.restart();
        thread = std::thread([this] { proxy::pooled::run_workers(*app); });
    }

    /// Runs where the host keeps what it knows of others.
    template <class Action>
    auto at_hosts(Action&& action)
    {
        using result = decltype(action(app->hosts));
        std::promise<result> done;
        asio::post(app->hosts.strand,
                   [&] { done.set_value(action(app->hosts)); });
        return done.get_future().get();
    }

    std::uint64_t configuration() const
    {
        std::lock_guard lock(app->decisions.mutex);
        return app->decisions.state.active_configuration.version;
    }

    std::size_t live_hosts() const
    {
        std::lock_guard lock(app->decisions.mutex);
        return app->decisions.state.live_hosts;
    }

    bool reads()
    {
        return at_hosts([](const auto& n) { return n.role.reading; });
    }

    /// Whether its role is decided and the hosts that it relies on answer.
    bool is_settled()
    {
        return at_hosts(
            [](const auto& n)
            {
                const auto& all = n.readers.followed;
                return n.role_known && n.role.reading == n.role.appointed &&
                       std::all_of(all.begin(), all.end(),
                                   [](const auto& h)
                                   { return h.second.heard.has_value(); });
            });
    }
};

struct fleet
{
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{
        io.get_executor()};
    store_standin store{io};
    std::thread store_thread;
    std::map<std::string, std::unique_ptr<fleet_host>> hosts;

    fleet()
    {
        telemetry::start_logging(telemetry::log_level::error);
        configure(1);
        store_thread = std::thread([this] { io.run(); });
    }

    ~fleet()
    {
        hosts.clear();
        at_store(
            [this]
            {
                store.waiting.clear();
                godwitbarrow::standins::stop(store.server);
                godwitbarrow::standins::stop(store.side_server);
            });
        at_store([] {});
        io.stop();
        store_thread.join();
    }

    /// Names begin with the data centre.
    void start(
        const std::string& name, bool at_side_address = false,
        const std::function<void(proxy::pooled::app&)>& prepare = [](auto&) {})
    {
        proxy::pooled::host_settings it;
        it.name = {name};
        it.data_centre = {name.substr(0, name.find('-'))};
        it.callers = local(0);
        it.readiness = local(0);
        it.peers = local(0);
        it.store = local(at_side_address ? store.side_port() : store.port());
        it.promotions = it.store;
        it.change_limit = 6s;
        hosts[name] = std::make_unique<fleet_host>(it, prepare);
    }

    void start_all(const std::vector<std::string>& names)
    {
        for (const auto& name : names)
            start(name);
        wait_until([this] { return all_settled(); });
    }

    bool all_settled()
    {
        return std::all_of(hosts.begin(), hosts.end(),
                           [this](const auto& n) {
                               return n.second->live_hosts() == hosts.size() &&
                                      n.second->is_settled();
                           });
    }

    /// The names of the hosts that read the store, or of those that do not.
    std::vector<std::string> that_read(bool reads)
    {
        std::vector<std::string> out;
        for (const auto& [name, host] : hosts)
            if (host->reads() == reads)
                out.push_back(name);
        return out;
    }

    template <class Action>
    void at_store(Action&& action)
    {
        std::promise<void> done;
        asio::post(io,
                   [&]
                   {
                       action();
                       done.set_value();
                   });
        done.get_future().wait();
    }

    /// As the operator does while the hosts run. Returns the size of the text.
    std::size_t write_configuration(int version, int routes = 0)
    {
        std::size_t out = 0;
        at_store([&] { out = configure(version, routes); });
        return out;
    }

    template <class Condition>
    void wait_until(Condition&& done,
                    std::chrono::milliseconds limit = test_limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!done() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(5ms);
        BOOST_REQUIRE(done());
    }

private:
    /// A route of a database, with the comma before the next one.
    static std::string route(int number)
    {
        return R"({"name":"r)" + std::to_string(number) +
               R"(","host":"database-)" + std::to_string(number) +
               R"(","type":"primary","timeout_ms":2000,"slo_ms":4000,)"
               R"("priority":0,"service":"quotes","max_stale_ms":0},)";
    }

    std::size_t configure(int version, int routes = 0)
    {
        std::string all;
        for (int n = 0; n < routes; ++n)
            all += route(n);
        if (!all.empty())
            all.pop_back();
        const auto text =
            R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
            all +
            R"(],"services":[{"name":"quotes","max_conns":16,)"
            R"("sync_replicas":0}],"limits":{"tx_idle_ms":3000}})";
        store.put("op", "config", text);
        return text.size();
    }
};

}  // namespace godwitbarrow::test
