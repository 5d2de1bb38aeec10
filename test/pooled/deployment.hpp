#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <mutex>
#include <thread>

#include "godwitbarrow/takeover/row.hpp"
#include "godwitbarrow/telemetry/log.hpp"
#include "member_standin.hpp"
#include "pooled/app.hpp"
#include "pooled/links.hpp"
#include "pooled/run.hpp"
#include "store_standin.hpp"

/// Fixture: one host with its store, its members and its callers.
namespace godwitbarrow::test
{

using namespace std::chrono_literals;
namespace asio = boost::asio;

/// Generous, and only reached if a test fails.
inline constexpr auto test_limit = 20s;
inline core::endpoint local(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

/// A caller with a blocking socket.
struct caller
{
    asio::io_context io;
    asio::ip::tcp::socket socket{io};
    std::string buf;

    /// With the size of its receive buffer, if one is given.
    caller(std::uint16_t port, const std::string& database,
           int receive_buffer = 0)
    {
        socket.open(asio::ip::tcp::v4());
        if (receive_buffer > 0)
            socket.set_option(
                asio::socket_base::receive_buffer_size(receive_buffer));
        socket.connect({asio::ip::address_v4::loopback(), port});
        write("STARTUP " + database + " test");
    }

    void write(const std::string& line)
    {
        asio::write(socket, asio::buffer(line + "\r\n"));
    }

    std::string line()
    {
        boost::system::error_code ec;
        const auto n =
            asio::read_until(socket, asio::dynamic_buffer(buf), '\n', ec);
        if (ec)
            return "closed";
        auto out = buf.substr(0, n - 2);
        buf.erase(0, n);
        return out;
    }

    /// Reads about 800,000 bytes a second. Returns how many came before the end
    /// of the connection, a silence of two seconds or the limit.
    std::size_t read_slowly(std::size_t limit)
    {
        constexpr auto pause = 20ms;
        constexpr int most_pauses = 100;
        std::string part(16384, '\0');
        std::size_t out = 0;
        int silent = 0;
        boost::system::error_code ec;
        socket.non_blocking(true);
        while (out < limit && silent < most_pauses)
        {
            std::this_thread::sleep_for(pause);
            const auto n = socket.read_some(asio::buffer(part), ec);
            if (ec && ec != asio::error::would_block)
                return out;
            silent = n > 0 ? 0 : silent + 1;
            out += n;
        }
        return out;
    }

    /// The lines of the answer up to its end, joined.
    std::string query(const std::string& text)
    {
        write("QUERY 5c0e7a21 " + text);
        std::string out;
        for (auto it = line(); it != "closed"; it = line())
        {
            out += out.empty() ? it : " | " + it;
            if (it.rfind("READY", 0) == 0)
                return out;
        }
        return out + "closed";
    }
};

/// One host, its store and a group of three members as threads of the test.
struct deployment
{
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{
        io.get_executor()};
    std::shared_ptr<group_data> data = std::make_shared<group_data>();
    store_standin store{io};
    std::vector<std::unique_ptr<member_standin>> members;
    std::unique_ptr<proxy::pooled::app> host;
    std::thread standin_thread;
    std::thread proxy;
    std::uint16_t port = 0;

    explicit deployment(std::size_t workers = 1,
                        std::chrono::milliseconds grace = 4s)
    {
        telemetry::start_logging(telemetry::log_level::error);
        data->primary = "a";
        store.promoted = [this](const promotion_call& call)
        {
            promote(call.server);
            return true;
        };
        for (const auto* id : {"a", "b", "c"})
        {
            members.push_back(
                std::make_unique<member_standin>(io, "quotes", id, data));
            register_member(*members.back());
        }
        configure(1);
        standin_thread = std::thread([this] { io.run(); });
        proxy::pooled::host_settings settings;
        settings.name = {"host-1"};
        settings.data_centre = {"north"};
        settings.workers = workers;
        // The system chooses the ports when the host binds them, so no other
        // socket of the test can take them first.
        settings.callers = local(0);
        settings.readiness = local(0);
        settings.store = local(store.port());
        settings.promotions = local(store.port());
        settings.grace = grace;
        host = std::make_unique<proxy::pooled::app>(settings);
        BOOST_REQUIRE(ok(proxy::pooled::start(*host)));
        port = host->acceptor.local_endpoint().port();
        proxy = std::thread([this] { proxy::pooled::run_workers(*host); });
        wait_until([this] { return host->ready.load(); });
        wait_until([this] { return member_count() == 3; });
    }

    ~deployment()
    {
        host->io.stop();
        proxy.join();
        at_standins(
            [this]
            {
                store.waiting.clear();
                godwitbarrow::standins::stop(store.server);
                godwitbarrow::standins::stop(store.side_server);
            });
        // Lets the handlers of the closed sessions run.
        at_standins([] {});
        io.stop();
        standin_thread.join();
    }

    std::size_t member_count()
    {
        std::lock_guard lock(host->decisions.mutex);
        const auto& groups = host->decisions.state.groups;
        const auto it = groups.find({"quotes"});
        return it == groups.end() ? 0 : it->second.members.size();
    }

    /// Whether the host knows that the member is leaving.
    bool leaves(const std::string& server)
    {
        std::lock_guard lock(host->decisions.mutex);
        const auto& all = host->decisions.state.groups.at({"quotes"}).members;
        const auto it = all.find({server});
        return it != all.end() && it->second.record.leaving;
    }

    bool is_revoked(const std::string& server)
    {
        std::lock_guard lock(host->decisions.mutex);
        const auto& revoked =
            host->decisions.state.groups.at({"quotes"}).revoked;
        return revoked && revoked->server.value == server;
    }

    std::uint64_t configured_version()
    {
        std::lock_guard lock(host->decisions.mutex);
        return host->decisions.state.active_configuration.version;
    }

    template <class Condition>
    void wait_until(Condition&& done)
    {
        const auto limit = std::chrono::steady_clock::now() + test_limit;
        while (!done() && std::chrono::steady_clock::now() < limit)
            std::this_thread::sleep_for(2ms);
        BOOST_REQUIRE(done());
    }

    /// Runs on the thread of the stand-ins.
    template <class Action>
    void at_standins(Action&& action)
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

    /// Whether the store holds a call of the host until the table changes.
    bool awaits_changes(const std::string& table)
    {
        bool out = false;
        at_standins(
            [&]
            {
                for (const auto& call : store.waiting)
                    out = out || call.table == table;
            });
        return out;
    }

    void register_member(const member_standin& m, bool leaving = false)
    {
        store.put("servers", m.id,
                  R"({"service":"quotes","addr":"127.0.0.1:)" +
                      std::to_string(m.port()) +
                      R"(","zone":"north","version":"v1","slots":2,"state":")" +
                      (leaving ? "draining" : "ready") +
                      R"(","cold_left_ms":0,"db_role":")" +
                      (data->primary == m.id ? "primary" : "replica") +
                      R"(","seq":1,"born":1})");
    }

    /// A registration with these texts for its slots and its port.
    static std::string odd_entry(const std::string& slots,
                                 const std::string& entry_port)
    {
        return R"({"service":"quotes","addr":"127.0.0.1:)" + entry_port +
               R"(","zone":"north","version":"v1","slots":)" + slots +
               R"(,"state":"ready","db_role":"primary","seq":1})";
    }

    /// Writes the claim of another host.
    void claim_takeover(const std::string& holder, const std::string& replaced)
    {
        const auto now = core::runtime_clock::now().time_since_epoch();
        store.put(
            "takeovers", "quotes",
            takeover::encode(takeover::claim{
                1,
                {holder},
                {replaced},
                std::chrono::duration_cast<std::chrono::milliseconds>(now)}));
    }

    void promote(const std::string& id)
    {
        data->primary = id;
        ++data->at.term;
        for (const auto& m : members)
            register_member(*m);
    }

    void configure(int version, int synchronous_replicas = 0,
                   int max_connections = 16, int more_routes = 0)
    {
        const auto route = [](const char* host, const char* type, int age)
        {
            return std::string(R"({"name":"r","host":")") + host +
                   R"(","type":")" + type +
                   R"(","timeout_ms":2000,"slo_ms":4000,"priority":0,)"
                   R"("service":"quotes","max_stale_ms":)" +
                   std::to_string(age) + "}";
        };
        std::string more;
        for (int n = 0; n < more_routes; ++n)
            more += "," + route(("database-" + std::to_string(n)).c_str(),
                                "primary", 0);
        store.put("op", "config",
                  R"({"version":)" + std::to_string(version) +
                      R"(,"routes":[)" + route("newest", "primary", 0) + "," +
                      route("bounded", "bounded", 1500) + "," +
                      route("own", "session", 2500) + more +
                      R"(],"services":[{"name":"quotes","max_conns":)" +
                      std::to_string(max_connections) + R"(,"sync_replicas":)" +
                      std::to_string(synchronous_replicas) +
                      R"(}],"limits":{"tx_idle_ms":3000}})");
    }
};

}  // namespace godwitbarrow::test
