#include <array>

#include "godwitbarrow/hosts/host.hpp"
#include "owner_fleet.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;

namespace
{

using asio::ip::tcp;

constexpr int many_routes = 1400;
/// At this rate the text of the configuration takes 1.4 s for each copy, and
/// the 32 KiB that a host may have under way take 0.25 s.
constexpr std::size_t bytes_per_second = std::size_t{128} * 1024;
constexpr std::size_t packet_bytes = 1400;

/// The network interface of a host: all its links share the rate.
struct shared_interface
{
    std::chrono::steady_clock::time_point free_at;

    /// When the bytes have left.
    std::chrono::steady_clock::time_point send(std::size_t bytes)
    {
        const auto now = std::chrono::steady_clock::now();
        free_at =
            std::max(free_at, now) +
            std::chrono::microseconds(bytes * 1'000'000 / bytes_per_second);
        return free_at;
    }
};

/// One direction of a link between two hosts.
struct forwarded_stream : std::enable_shared_from_this<forwarded_stream>
{
    std::shared_ptr<tcp::socket> from;
    std::shared_ptr<tcp::socket> to;
    shared_interface* interface = nullptr;
    const std::atomic<bool>* slow = nullptr;
    asio::steady_timer timer;
    std::array<char, packet_bytes> buf{};

    forwarded_stream(std::shared_ptr<tcp::socket> source,
                     std::shared_ptr<tcp::socket> target)
        : from(std::move(source)),
          to(std::move(target)),
          timer(from->get_executor())
    {
    }

    void read()
    {
        from->async_read_some(asio::buffer(buf), [self = shared_from_this()](
                                                     auto ec, std::size_t n)
                              { ec ? self->close() : self->delay(n); });
    }

    void delay(std::size_t n)
    {
        if (!*slow)
            return write(n);
        timer.expires_at(interface->send(n));
        timer.async_wait([self = shared_from_this(), n](auto)
                         { self->write(n); });
    }

    void write(std::size_t n)
    {
        asio::async_write(*to, asio::buffer(buf, n),
                          [self = shared_from_this()](auto ec, std::size_t)
                          { ec ? self->close() : self->read(); });
    }

    void close()
    {
        boost::system::error_code ec;
        from->close(ec);
        to->close(ec);
    }
};

/// Passes on the links between hosts, each through the interfaces of both.
struct slow_network
{
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{
        io.get_executor()};
    std::map<std::string, shared_interface> interfaces;
    std::map<std::string, std::unique_ptr<tcp::acceptor>> acceptors;
    std::atomic<bool> slow{false};
    std::thread thread{[this]
                       {
                           io.run();
                       }};

    ~slow_network()
    {
        io.stop();
        thread.join();
    }

    /// The row of a host, with the address at which its links are passed on.
    std::string rewrite_row(const std::string& name, const std::string& value)
    {
        const auto parsed = hosts::decode_host(name, value);
        const auto* known = std::get_if<hosts::peer_host>(&parsed);
        if (!known)
            return value;
        auto out = *known;
        std::promise<std::uint16_t> port;
        asio::post(io, [&] { port.set_value(listen(name, out.address.port)); });
        out.address.port = port.get_future().get();
        return hosts::encode_host(out);
    }

private:
    std::uint16_t listen(const std::string& name, std::uint16_t target)
    {
        auto& it = acceptors[name];
        if (!it)
        {
            it = std::make_unique<tcp::acceptor>(
                io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            accept(name, target);
        }
        return it->local_endpoint().port();
    }

    void accept(const std::string& name, std::uint16_t target)
    {
        acceptors[name]->async_accept(
            [this, name, target](auto ec, tcp::socket accepted)
            {
                if (ec)
                    return;
                open(name, target,
                     std::make_shared<tcp::socket>(std::move(accepted)));
                accept(name, target);
            });
    }

    void open(const std::string& name, std::uint16_t target,
              const std::shared_ptr<tcp::socket>& client)
    {
        const auto server = std::make_shared<tcp::socket>(io);
        boost::system::error_code ec;
        server->connect({asio::ip::address_v4::loopback(), target}, ec);
        if (ec)
            return;
        const auto there = std::make_shared<forwarded_stream>(client, server);
        const auto back = std::make_shared<forwarded_stream>(server, client);
        there->slow = back->slow = &slow;
        back->interface = &interfaces[name];
        client->async_read_some(asio::buffer(there->buf),
                                [this, there, back](auto failed, std::size_t n)
                                {
                                    if (failed)
                                        return there->close();
                                    there->interface =
                                        &interfaces[sender_of(there->buf, n)];
                                    there->write(n);
                                    back->read();
                                });
    }

    /// The name in the hello, which is the first message of a link.
    std::string sender_of(const std::array<char, packet_bytes>& buf,
                          std::size_t n) const
    {
        const std::string bytes(buf.data(), n);
        const auto at = bytes.find("host-");
        return at == std::string::npos ? "" : bytes.substr(at, 6);
    }
};

/// Seven hosts of one data centre, whose links are slow once they have found
/// each other.
struct slow_fleet : owner_fleet
{
    std::shared_ptr<slow_network> network;

    slow_fleet() : slow_fleet(std::make_shared<slow_network>()) {}

    explicit slow_fleet(const std::shared_ptr<slow_network>& through)
        : owner_fleet(
              {"host-2", "host-3", "host-4", "host-5", "host-6", "host-7",
               "host-8"},
              [through](store_standin& store)
              {
                  store.rewrite = [through](const auto& table, const auto& key,
                                            const auto& value)
                  {
                      return table == "hosts" ? through->rewrite_row(key, value)
                                              : value;
                  };
              }),
          network(through)
    {
    }

    static bool reads(proxy::pooled::app& it)
    {
        std::promise<bool> out;
        asio::post(it.hosts.strand,
                   [&] { out.set_value(it.hosts.role.reading); });
        return out.get_future().get();
    }

    std::size_t count_readers()
    {
        return static_cast<std::size_t>(
            std::count_if(hosts.begin(), hosts.end(),
                          [](const auto& n) { return reads(*n.app); }));
    }

    /// A host that reads the store and relays the sessions of its callers.
    running_host& reading_entry()
    {
        for (auto& it : hosts)
            if (reads(*it.app) && !proxy::pooled::serves_group(*it.app, group))
                return it;
        BOOST_FAIL("all readers are owners");
        return hosts.front();
    }

    bool all_have(std::uint64_t version)
    {
        return std::all_of(
            hosts.begin(), hosts.end(),
            [&](const auto& n)
            { return n.app->configuration_version.load() == version; });
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(hosts_that_share_slow_interfaces, slow_fleet)

// Guards against sessions that are lost beside a change of the configuration:
// statements waited behind copies of it, and owners were taken for silent.
BOOST_AUTO_TEST_CASE(answer_each_statement_while_the_configuration_grows)
{
    wait_until([this] { return count_readers() == 2; });
    caller it(port_of(reading_entry()), "newest");
    BOOST_REQUIRE(it.line() == "READY I -");
    BOOST_REQUIRE(it.query("WRITE 1 x") == "DONE sig | READY I -");
    network->slow = true;
    at_standins([this] { configure(3, 0, 6, many_routes); });
    const auto began = std::chrono::steady_clock::now();
    auto longest = began - began;
    // Longer than the copies need.
    for (auto now = began; now - began < 12s;)
    {
        BOOST_REQUIRE(it.query("READ 1") == "ROW x | DONE sig | READY I -");
        const auto answered = std::chrono::steady_clock::now();
        longest = std::max(longest, answered - now);
        std::this_thread::sleep_for(20ms);
        now = std::chrono::steady_clock::now();
    }
    BOOST_TEST_MESSAGE(
        "longest statement: "
        << std::chrono::duration_cast<std::chrono::milliseconds>(longest)
               .count()
        << " ms");
    network->slow = false;
    wait_until([this] { return all_have(3); });
}

BOOST_AUTO_TEST_SUITE_END()
