#include "godwitbarrow/stream/connection.hpp"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace godwitbarrow;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace
{

/// A connection that was accepted, and the plain socket at its other end.
struct pair
{
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work{io.get_executor()};
    tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket peer{io};
    stream::connection_ptr served;
    std::vector<std::string> lines;
    std::string closed;
    std::size_t held = 0;
    std::size_t most_held = 0;
    int ends = 0;

    explicit pair(const stream::limits& within = {})
    {
        peer.connect(acceptor.local_endpoint());
        stream::handlers on;
        on.received = [this](std::string_view line)
        {
            lines.emplace_back(line);
            if (line == "quit")
                stream::close(served);
        };
        on.closed = [this](const std::string& reason)
        {
            closed = reason;
        };
        on.holds = [this](std::size_t bytes)
        {
            held = bytes;
            most_held = std::max(most_held, bytes);
        };
        on.ended = [this]
        {
            ++ends;
        };
        served = stream::adopt(acceptor.accept(), std::move(on), within);
        stream::start(served);
    }

    void write(const std::string& bytes)
    {
        boost::asio::write(peer, boost::asio::buffer(bytes));
    }

    template <class Condition>
    void run_until(Condition&& done)
    {
        // Generous, and only reached if the test fails.
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (!done() && std::chrono::steady_clock::now() < limit)
            io.run_for(5ms);
        BOOST_REQUIRE(done());
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_connection_of_lines)

BOOST_FIXTURE_TEST_CASE(puts_together_what_arrives_in_parts, pair)
{
    write("one\r\ntw");
    run_until([&] { return lines.size() == 1; });
    write("o\r\n\r\nfour\r");
    run_until([&] { return lines.size() == 3; });
    write("\n");
    run_until([&] { return lines.size() == 4; });
    BOOST_TEST(lines == (std::vector<std::string>{"one", "two", "", "four"}));
}

// Guards against a message that is taken for two because its text holds a line
// feed or a carriage return: the second part would run as a statement.
BOOST_FIXTURE_TEST_CASE(ends_a_line_at_cr_lf_only, pair)
{
    write("one\nmore\r\n");
    write("two\rmore\r\n");
    write("three\n\r\r\n");
    write("four\n");
    run_until([&] { return lines.size() >= 3; });
    io.run_for(20ms);
    BOOST_TEST(lines == (std::vector<std::string>{"one\nmore", "two\rmore",
                                                  "three\n\r"}));
}

BOOST_FIXTURE_TEST_CASE(sends_in_order_and_then_closes, pair)
{
    stream::send(served, "one\r\n");
    stream::send(served, "two\r\n");
    stream::close_after_sending(served);
    std::string got;
    char buf[64];
    boost::system::error_code ec;
    while (!ec)
    {
        io.run_for(5ms);
        got.append(buf, peer.read_some(boost::asio::buffer(buf), ec));
    }
    BOOST_TEST(got == "one\r\ntwo\r\n");
}

BOOST_FIXTURE_TEST_CASE(tells_that_its_peer_left, pair)
{
    peer.close();
    run_until([&] { return !closed.empty(); });
}

// Guards against handlers that run after their connection was closed.
BOOST_FIXTURE_TEST_CASE(delivers_nothing_after_it_was_closed, pair)
{
    write("quit\r\nmore\r\n");
    run_until([&] { return !lines.empty(); });
    io.run_for(20ms);
    BOOST_TEST(lines.size() == 1U);
    BOOST_TEST(closed.empty());
}

BOOST_AUTO_TEST_CASE(is_given_up_if_a_line_has_no_end)
{
    stream::limits within;
    within.line_bytes = 10000;
    pair it(within);
    it.write(std::string(20000, 'x'));
    it.run_until([&] { return !it.closed.empty(); });
}

BOOST_AUTO_TEST_CASE(is_given_up_if_its_peer_does_not_read)
{
    stream::limits within;
    within.unsent_bytes = 1000000;
    pair it(within);
    for (int n = 0; n < 200; ++n)
        stream::send(it.served, std::string(100000, 'x') + "\r\n");
    it.run_until([&] { return !it.closed.empty(); });
}

BOOST_AUTO_TEST_CASE(that_cannot_be_opened_says_so)
{
    boost::asio::io_context io;
    tcp::acceptor taken(io, {boost::asio::ip::address_v4::loopback(), 0});
    const auto port = taken.local_endpoint().port();
    taken.close();
    std::string closed;
    bool connected = false;
    stream::handlers on;
    on.received = [](std::string_view) {
    };
    on.closed = [&](const std::string& reason)
    {
        closed = reason;
    };
    const auto it = stream::connect(
        io.get_executor(), {"127.0.0.1", port}, 1s, [&] { connected = true; },
        std::move(on));
    io.run_for(500ms);
    BOOST_TEST(!connected);
    BOOST_TEST(!closed.empty());
}

// Guards against a caller that sends on and fills the memory of this side.
BOOST_FIXTURE_TEST_CASE(delivers_nothing_while_it_is_paused, pair)
{
    stream::pause(served);
    write("one\r\ntwo\r\nthr");
    io.run_for(20ms);
    BOOST_TEST(lines.empty());
    write("ee\r\n");
    stream::resume(served);
    run_until([&] { return lines.size() == 3; });
    BOOST_TEST(lines == (std::vector<std::string>{"one", "two", "three"}));
}

// Guards against buffers that stay as large as their longest line.
BOOST_FIXTURE_TEST_CASE(gives_back_the_memory_of_long_lines, pair)
{
    const std::string line(600000, 'x');
    write(line + "\r\n");
    run_until([&] { return lines.size() == 1 && held == 0; });
    BOOST_TEST(lines[0] == line);
    BOOST_TEST(most_held >= line.size());
    BOOST_TEST(most_held < line.size() * 3 / 2);
}

// Guards against answers without a bound for a peer that sends requests on and
// reads nothing.
BOOST_AUTO_TEST_CASE(reads_nothing_while_much_is_unread)
{
    stream::limits within;
    within.read_pause_bytes = 1000;
    pair it(within);
    const std::string answer(std::size_t{8} * 1024 * 1024, 'x');
    it.peer.non_blocking(true);
    stream::send(it.served, answer.substr(0, within.unsent_bytes));
    stream::send(it.served, answer.substr(within.unsent_bytes));
    it.write("one\r\n");
    it.io.run_for(20ms);
    BOOST_TEST(it.lines.empty());
    BOOST_TEST(stream::progress_of(it.served).unsent > within.read_pause_bytes);
    std::size_t got = 0;
    std::vector<char> buf(65536);
    boost::system::error_code ec;
    it.run_until(
        [&]
        {
            got += it.peer.read_some(boost::asio::buffer(buf), ec);
            return got == answer.size() && !it.lines.empty();
        });
    it.run_until([&] { return it.held == 0; });
    BOOST_TEST(stream::progress_of(it.served).sent == answer.size());
}

// Guards against connections that are counted after their end.
BOOST_FIXTURE_TEST_CASE(tells_its_end_once, pair)
{
    stream::close(served);
    stream::close(served);
    run_until([&] { return ends > 0; });
    io.run_for(20ms);
    BOOST_TEST(ends == 1);
}

BOOST_AUTO_TEST_SUITE_END()
