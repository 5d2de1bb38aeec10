#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <iterator>
#include <thread>

#include "crowd.hpp"
#include "godwitbarrow/core/endpoint.hpp"
#include "host_process.hpp"

using namespace godwitbarrow::test;
using namespace std::chrono_literals;

namespace
{

const std::string startup = "STARTUP newest crowd\r\n";
/// A statement of legal size, without its end.
const std::string half_message =
    "QUERY 7be10c55 WRITE item " + std::string(large_bytes, 'x');
constexpr std::size_t small_piece = 4096;
constexpr std::size_t one_piece = large_bytes * 16;
constexpr auto settle_time = 300ms;

/// The ends of the connections at the test need descriptors too.
void raise_descriptor_limit()
{
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
}

struct fixture : host_process
{
    fixture()
    {
        raise_descriptor_limit();
    }

    crowd connect(std::size_t size, std::uint16_t port = callers_port)
    {
        return {client, address, port, size};
    }

    /// What must hold while the crowd is still connected.
    void check_host()
    {
        std::this_thread::sleep_for(settle_time);
        BOOST_REQUIRE(is_running(*this));
        BOOST_TEST(open_descriptors(*this) < descriptor_limit);
        BOOST_TEST(answers_ordinary_caller(*this));
        BOOST_TEST(answers_http(*this, readiness_port, "/readyz"));
        BOOST_TEST(is_running(*this));
        const auto peak = peak_memory_mib(*this);
        BOOST_TEST_MESSAGE("peak memory " << peak << " MiB, descriptors "
                                          << open_descriptors(*this));
#ifdef GODWITBARROW_MEMORY_CHECK
        BOOST_TEST(peak <= memory_limit_mib);
#endif
    }

    boost::asio::io_context client;
};

/// Replaces the members that the host closed by others with half a request.
void fill_up(crowd& it, boost::asio::io_context& io,
             const godwitbarrow::core::endpoint& at, std::size_t size)
{
    auto& all = it.members;
    count_open(it);
    all.erase(std::remove_if(all.begin(), all.end(),
                             [](const auto& n) { return n.closed; }),
              all.end());
    crowd more(io, at.address, at.port, size - all.size());
    append(more, "GET /readyz HTTP/1.1\r\nHost:");
    std::move(more.members.begin(), more.members.end(),
              std::back_inserter(all));
}

std::string repeat(const std::string& what, std::size_t times)
{
    std::string out;
    for (std::size_t n = 0; n < times; ++n)
        out += what;
    return out;
}

/// Sets a large value and prepares a large statement of this name.
std::string store_large(const std::string& name)
{
    const std::string text(large_bytes, 's');
    return "QUERY 7be10c55 SET " + name + ' ' + text +
           "\r\nQUERY 7be10c55 PREPARE " + name + " READ " + name + text +
           "\r\n";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_host)

BOOST_AUTO_TEST_SUITE(in_calm)

// Guards against limits that ordinary callers meet.
BOOST_FIXTURE_TEST_CASE(keeps_idle_sessions_and_serves_large_messages, fixture)
{
    auto idle = connect(150);
    append(idle, startup);
    send_in_pieces(idle, small_piece);
    auto one = connect(1);
    append(one, startup + half_message + "\r\n");
    send_in_pieces(one, one_piece);
    std::string got;
    for (int n = 0; n < 500 && got.find("DONE sig") == got.npos; ++n)
    {
        got += receive_some(one.members[0]);
        std::this_thread::sleep_for(10ms);
    }
    BOOST_TEST((got.find("DONE sig") != got.npos));
    BOOST_TEST(count_open(idle) == 150U);
    check_host();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_callers_that_send_too_much)

// Guards against memory for as many large messages as callers send at once.
BOOST_FIXTURE_TEST_CASE(bears_large_messages_in_one_piece, fixture)
{
    auto callers = connect(120);
    append(callers, startup + half_message + "\r\n");
    send_in_pieces(callers, one_piece);
    check_host();
}

BOOST_FIXTURE_TEST_CASE(bears_large_messages_in_small_pieces, fixture)
{
    auto callers = connect(120);
    append(callers, startup + half_message + "\r\n");
    send_in_pieces(callers, small_piece);
    check_host();
}

BOOST_FIXTURE_TEST_CASE(bears_messages_far_over_the_limit, fixture)
{
    auto callers = connect(120);
    append(callers, startup + repeat(half_message, 4));
    send_in_pieces(callers, small_piece);
    check_host();
}

// Guards against statements and answers that pile up for a caller which sends
// on and does not read.
BOOST_FIXTURE_TEST_CASE(bears_small_messages_sent_ahead, fixture)
{
    auto callers = connect(40);
    append(callers, startup + repeat("QUERY 7be10c55 SET name value\r\n"
                                     "QUERY 7be10c55 READ small\r\n",
                                     5000));
    send_in_pieces(callers, one_piece);
    check_host();
}

BOOST_FIXTURE_TEST_CASE(bears_large_messages_sent_ahead, fixture)
{
    auto callers = connect(10);
    append(callers, startup + repeat(half_message + "\r\n", 14));
    send_in_pieces(callers, one_piece);
    check_host();
}

// Guards against values and prepared statements without a bound on their sum.
BOOST_FIXTURE_TEST_CASE(bears_sessions_with_large_state, fixture)
{
    auto callers = connect(10);
    append(callers, startup);
    for (const auto* name : {"n0", "n1", "n2", "n3", "n4", "n5", "n6"})
        append(callers, store_large(name));
    send_in_pieces(callers, one_piece);
    check_host();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_callers_that_stop_or_are_slow)

BOOST_FIXTURE_TEST_CASE(bears_messages_that_never_end, fixture)
{
    auto callers = connect(120);
    append(callers, startup + half_message);
    send_in_pieces(callers, one_piece);
    check_host();
}

BOOST_FIXTURE_TEST_CASE(bears_messages_that_go_on_byte_by_byte, fixture)
{
    auto callers = connect(120);
    append(callers, startup + half_message);
    send_in_pieces(callers, small_piece);
    for (int n = 0; n < 20; ++n)
    {
        append(callers, "x");
        send_in_pieces(callers, 1);
        std::this_thread::sleep_for(20ms);
    }
    check_host();
}

// Guards against answers that are kept for callers which do not take them.
BOOST_FIXTURE_TEST_CASE(bears_large_answers_that_nobody_reads, fixture)
{
    auto callers = connect(60);
    append(callers, startup + repeat("QUERY 7be10c55 READ large\r\n", 4));
    send_in_pieces(callers, one_piece);
    std::this_thread::sleep_for(2s);
    check_host();
}

BOOST_FIXTURE_TEST_CASE(bears_large_answers_that_are_read_slowly, fixture)
{
    auto callers = connect(60);
    append(callers, startup + repeat("QUERY 7be10c55 READ large\r\n", 4));
    send_in_pieces(callers, one_piece);
    for (int n = 0; n < 20; ++n)
    {
        std::this_thread::sleep_for(100ms);
        for (auto& it : callers.members)
            receive_some(it);
    }
    check_host();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_more_connections_than_descriptors)

// Guards against silent connections that shut out others, the readiness probe
// and the members.
BOOST_FIXTURE_TEST_CASE(serves_others_beside_silent_connections, fixture)
{
    auto callers = connect(700);
    check_host();
}

BOOST_FIXTURE_TEST_CASE(serves_others_beside_idle_sessions, fixture)
{
    auto callers = connect(700);
    append(callers, startup);
    send_in_pieces(callers, small_piece);
    check_host();
}

BOOST_FIXTURE_TEST_CASE(serves_others_beside_half_messages, fixture)
{
    auto callers = connect(700);
    append(callers, startup + "QUERY 7be10c55 WRITE item");
    send_in_pieces(callers, small_piece);
    check_host();
}

// Guards against half requests that shut out the probe of the balancer.
BOOST_FIXTURE_TEST_CASE(answers_probes_beside_half_requests, fixture)
{
    auto probes = connect(200, readiness_port);
    auto scrapes = connect(200, metrics_port);
    append(probes, "GET /readyz HTTP/1.1\r\nHost:");
    append(scrapes, "GET /metrics HTTP/1.1\r\nHost:");
    send_in_pieces(probes, small_piece);
    send_in_pieces(scrapes, small_piece);
    check_host();
    BOOST_TEST(answers_http(*this, metrics_port, "/metrics"));
}

// Guards against a readiness port that serves nobody until half requests time
// out, because they are followed by others.
BOOST_FIXTURE_TEST_CASE(answers_probes_beside_half_requests_that_come_again,
                        fixture)
{
    std::atomic<bool> stop{false};
    std::thread others(
        [&]
        {
            boost::asio::io_context io;
            crowd probes(io, address, readiness_port, 0);
            while (!stop)
            {
                fill_up(probes, io, {address, readiness_port}, 200);
                send_in_pieces(probes, small_piece);
                std::this_thread::sleep_for(20ms);
            }
        });
    check_host();
    stop = true;
    others.join();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
