#include "godwitbarrow/peer/link.hpp"

#include <array>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace godwitbarrow;
using namespace godwitbarrow::peer;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

const core::endpoint any_port{"127.0.0.1", 0};

/// Two hosts in one process, with several workers as in the proxy.
struct two_hosts
{
    two_hosts()
    {
        for (int n = 0; n < 3; ++n)
            workers.emplace_back([this] { io.run(); });
    }
    ~two_hosts()
    {
        work.reset();
        io.stop();
        for (auto& it : workers)
            it.join();
    }

    void listen_with(message_handler on_message, const link_limits& limits = {})
    {
        server = std::get<listener_ptr>(listen(
            io.get_executor(), any_port, std::move(on_message),
            [this](const link_ptr&, const core::error& e)
            { server_closed.set_value(e); },
            limits));
    }

    link_ptr connect_with(message_handler on_message,
                          const link_limits& limits = {})
    {
        std::promise<link_ptr> made;
        connect(
            io.get_executor(), local_endpoint(server),
            [&](const core::result<link_ptr>& it)
            { made.set_value(std::get<link_ptr>(it)); },
            std::move(on_message),
            [this](const link_ptr&, const core::error& e)
            { client_closed.set_value(e); },
            limits);
        return made.get_future().get();
    }

    /// A connection that is not a link, for bytes that a link never sends.
    tcp::socket raw_connection()
    {
        tcp::socket it(io);
        const auto to = local_endpoint(server);
        it.connect({asio::ip::make_address(to.address), to.port});
        return it;
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{
        io.get_executor()};
    std::promise<core::error> server_closed;
    std::promise<core::error> client_closed;
    listener_ptr server;
    std::vector<std::thread> workers;
};

void ignore(const link_ptr&, const message&) {}

message big_message()
{
    return settings_delta{1,  2,  0, 1, {{"f", std::string(900'000, 'x')}},
                          {}, "d"};
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(two_hosts_are_linked, two_hosts)

// Guards against lost, repeated or reordered messages.
BOOST_AUTO_TEST_CASE(messages_arrive_in_order_and_are_answered)
{
    constexpr std::uint64_t count = 2000;
    listen_with([](const link_ptr& it, const message& what)
                { send(it, what); });
    std::promise<bool> in_order;
    std::uint64_t next = 0;
    const auto it = connect_with(
        [&](const link_ptr&, const message& what)
        {
            if (std::get<probe>(what).nonce != next++)
                in_order.set_value(false);
            else if (next == count)
                in_order.set_value(true);
        });
    for (std::uint64_t n = 0; n < count; ++n)
        send(it, probe{n, {}});
    BOOST_TEST(in_order.get_future().get());
}

// Guards against frames that are longer than one read.
BOOST_AUTO_TEST_CASE(a_message_of_nearly_a_frame_arrives_whole)
{
    std::promise<std::size_t> size;
    listen_with(
        [&](const link_ptr&, const message& what)
        {
            size.set_value(
                std::get<settings_delta>(what).changed.at(0).content.size());
        });
    send(connect_with(ignore), big_message());
    BOOST_TEST(size.get_future().get() == 900'000U);
}

// Guards against a data race between workers that use one link.
BOOST_AUTO_TEST_CASE(several_threads_send_at_once)
{
    std::atomic<int> seen{0};
    std::promise<void> all;
    listen_with(
        [&](const link_ptr&, const message&)
        {
            if (++seen == 400)
                all.set_value();
        });
    const auto it = connect_with(ignore);
    const auto send_some = [&]
    {
        for (std::uint64_t k = 0; k < 100; ++k)
            send(it, probe{k, {}});
    };
    std::array<std::thread, 4> senders;
    for (auto& t : senders)
        t = std::thread(send_some);
    for (auto& t : senders)
        t.join();
    all.get_future().get();
    BOOST_TEST(seen == 400);
}

BOOST_AUTO_TEST_SUITE(and_one_of_them_closes)

// Guards against requests that wait for ever on a link that is gone.
BOOST_AUTO_TEST_CASE(both_sides_are_told_once)
{
    listen_with(ignore);
    const auto it = connect_with(ignore);
    close(it);
    close(it);
    BOOST_TEST((client_closed.get_future().get().kind ==
                core::error_kind::connection_lost));
    BOOST_TEST((server_closed.get_future().get().kind ==
                core::error_kind::connection_lost));
    send(it, probe{});
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(and_one_of_them_misbehaves)

// Guards against unbounded memory when the other host stops reading.
BOOST_AUTO_TEST_CASE(a_full_write_queue_closes_the_link)
{
    std::promise<void> go_on;
    const auto blocked = go_on.get_future().share();
    listen_with([blocked](const link_ptr&, const message&) { blocked.wait(); });
    const auto it = connect_with(ignore);
    for (int n = 0; n < 40; ++n)
        send(it, big_message());
    BOOST_TEST((client_closed.get_future().get().kind ==
                core::error_kind::overloaded));
    go_on.set_value();
    server_closed.get_future().get();
}

BOOST_AUTO_TEST_CASE(a_message_above_the_frame_limit_closes_the_link)
{
    listen_with(ignore);
    const auto it = connect_with(ignore);
    send(it, suspicion{{std::string(2'000'000, 'x')}, {}, {}});
    BOOST_TEST((client_closed.get_future().get().kind ==
                core::error_kind::protocol_error));
    server_closed.get_future().get();
}

// Guards against an allocation of the size that a stray client announces.
BOOST_AUTO_TEST_CASE(an_announced_length_above_the_limit_closes_the_link)
{
    listen_with(ignore);
    auto raw = raw_connection();
    asio::write(raw, asio::buffer("\x7f\xff\xff\xff", 4));
    BOOST_TEST((server_closed.get_future().get().kind ==
                core::error_kind::protocol_error));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_close_the_link)
{
    listen_with(ignore);
    auto raw = raw_connection();
    asio::write(raw, asio::buffer("\0\0\0\x08 garbage", 12));
    BOOST_TEST((server_closed.get_future().get().kind ==
                core::error_kind::protocol_error));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_frame_stops_halfway)

/// Runs handlers on this thread, so that the clock moves between two steps.
struct paused_link
{
    paused_link()
    {
        core::runtime_clock::pause();
        server = std::get<listener_ptr>(listen(
            io.get_executor(), any_port,
            [this](const link_ptr&, const message&) { ++messages; },
            [this](const link_ptr&, const core::error& e) { closed = e; }));
        const auto to = local_endpoint(server);
        raw.connect({asio::ip::make_address(to.address), to.port});
    }
    ~paused_link()
    {
        core::runtime_clock::resume();
    }

    template <class Condition>
    void run_until(Condition condition)
    {
        while (!condition())
            io.run_one();
    }

    asio::io_context io;
    tcp::socket raw{io};
    listener_ptr server;
    int messages = 0;
    std::optional<core::error> closed;
};

// Guards against a silent connection that holds a partial frame for ever.
BOOST_FIXTURE_TEST_CASE(the_link_closes_after_the_frame_timeout, paused_link)
{
    const auto body = encode(hello{{"h"}, 1});
    std::vector<std::uint8_t> buf{0, 0, 0,
                                  static_cast<std::uint8_t>(body.size())};
    buf.insert(buf.end(), body.begin(), body.end());
    buf.insert(buf.end(), {0, 0, 0, 8, 1, 2, 3});
    asio::write(raw, asio::buffer(buf));
    run_until([&] { return messages == 1; });
    io.poll();
    BOOST_TEST(!closed);
    core::runtime_clock::advance(10s);
    run_until([&] { return closed.has_value(); });
    BOOST_TEST((closed->kind == core::error_kind::protocol_error));
    BOOST_TEST(messages == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_other_host_reads_nothing)

/// A link to a connection that reads only when it is told to. Handlers run on
/// this thread, so that the clock moves between two steps.
struct unread_link
{
    unread_link()
    {
        core::runtime_clock::pause();
        // Less than the system may choose, so that it takes few messages.
        acceptor.set_option(tcp::acceptor::receive_buffer_size(16 * 1024));
        connect(
            io.get_executor(), {"127.0.0.1", acceptor.local_endpoint().port()},
            [this](const core::result<link_ptr>& made)
            { it = std::get<link_ptr>(made); },
            ignore, [](const link_ptr&, const core::error&) {});
        while (!it)
            io.run_one();
        acceptor.accept(other);
        other.non_blocking(true);
    }
    ~unread_link()
    {
        core::runtime_clock::resume();
    }

    /// Runs all that does not wait for the other host.
    void settle()
    {
        io.restart();
        while (io.poll() > 0)
            ;
    }

    /// More than the system takes for a connection, less than the write queue.
    void fill()
    {
        for (int n = 0; n < 14; ++n)
            send(it, big_message());
        settle();
    }

    void read_all()
    {
        std::vector<char> buf(1'000'000);
        while (backlog().bytes > 0)
        {
            boost::system::error_code ec;
            other.read_some(asio::buffer(buf), ec);
            settle();
        }
    }

    send_backlog backlog() const
    {
        return backlog_of(it, core::runtime_clock::now());
    }

    asio::io_context io;
    tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};
    tcp::socket other{io};
    link_ptr it;
};

// Guards against a wait that is reported on a link that nothing waits on.
BOOST_FIXTURE_TEST_CASE(a_new_link_has_no_backlog, unread_link)
{
    core::runtime_clock::advance(5s);
    BOOST_TEST(backlog().bytes == 0U);
    BOOST_TEST((backlog().age == 0s));
}

BOOST_AUTO_TEST_SUITE(and_messages_wait)

BOOST_FIXTURE_TEST_CASE(their_bytes_are_counted, unread_link)
{
    fill();
    const auto before = backlog().bytes;
    BOOST_TEST(before > 0U);
    send(it, big_message());
    BOOST_TEST(backlog().bytes - before > 900'000U);
}

// Guards against the age of the newest message: a link on which messages are
// sent all the time would never appear to be slow.
BOOST_FIXTURE_TEST_CASE(their_age_is_that_of_the_oldest, unread_link)
{
    fill();
    BOOST_TEST((backlog().age == 0s));
    core::runtime_clock::advance(300ms);
    BOOST_TEST((backlog().age == 300ms));
    send(it, probe{});
    settle();
    core::runtime_clock::advance(200ms);
    BOOST_TEST((backlog().age == 500ms));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(until_it_reads_again)

// Guards against bytes and ages that stay after the messages were written.
BOOST_FIXTURE_TEST_CASE(then_the_link_has_no_backlog, unread_link)
{
    fill();
    core::runtime_clock::advance(300ms);
    send(it, probe{});
    read_all();
    core::runtime_clock::advance(5s);
    BOOST_TEST(backlog().bytes == 0U);
    BOOST_TEST((backlog().age == 0s));
}

// Guards against an age that is counted from messages written long ago.
BOOST_FIXTURE_TEST_CASE(later_messages_have_an_age_of_their_own, unread_link)
{
    fill();
    core::runtime_clock::advance(300ms);
    read_all();
    fill();
    BOOST_TEST(backlog().bytes > 0U);
    core::runtime_clock::advance(100ms);
    BOOST_TEST((backlog().age == 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_other_host_is_down)

// Guards against a connect that is never answered.
BOOST_AUTO_TEST_CASE(the_connection_is_reported_as_unreachable)
{
    asio::io_context io;
    tcp::acceptor closed_port(io, {asio::ip::make_address("127.0.0.1"), 0});
    const auto port = closed_port.local_endpoint().port();
    closed_port.close();
    std::optional<core::error> got;
    connect(
        io.get_executor(), {"127.0.0.1", port},
        [&](const core::result<link_ptr>& it)
        { got = std::get<core::error>(it); },
        ignore, [](const link_ptr&, const core::error&) {});
    io.run();
    BOOST_REQUIRE(got);
    BOOST_TEST((got->kind == core::error_kind::owner_unreachable));
}

BOOST_AUTO_TEST_CASE(a_port_in_use_is_an_error_of_the_settings)
{
    asio::io_context io;
    tcp::acceptor taken(io, {asio::ip::make_address("127.0.0.1"), 0});
    const auto got =
        listen(io.get_executor(), {"127.0.0.1", taken.local_endpoint().port()},
               ignore, [](const link_ptr&, const core::error&) {});
    BOOST_REQUIRE(!core::ok(got));
    BOOST_TEST((std::get<core::error>(got).kind ==
                core::error_kind::invalid_settings));
}

BOOST_AUTO_TEST_SUITE_END()
