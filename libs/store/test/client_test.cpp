#include "godwitbarrow/store/client.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <set>
#include <thread>

#include "godwitbarrow/http/link.hpp"
#include "godwitbarrow/standins/http_server.hpp"
#include "godwitbarrow/standins/platform.hpp"
#include "godwitbarrow/standins/test_loop.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::store;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using core::error_kind;
using standins::result_of;

namespace
{

using row_result = core::result<versioned_value>;
using version_result = core::result<std::uint64_t>;

template <class T>
error_kind kind_of(const core::result<T>& r)
{
    return std::get<core::error>(r).kind;
}

row_result read(asio::io_context& io, const client_ptr& it)
{
    return result_of<row_result>(
        io, [&](auto handler) { read_row(it, "t", "k", handler); });
}

version_result write(asio::io_context& io, const client_ptr& it,
                     const std::string& value, std::uint64_t expected)
{
    return result_of<version_result>(
        io, [&](auto handler)
        { write_row(it, "t", "k", value, expected, handler); });
}

/// Runs the stand-in of the platform on a thread of its own and the
/// client on several.
struct client_on_several_workers
{
    client_on_several_workers()
    {
        threads.emplace_back([this] { server_io.run(); });
        for (int n = 0; n < 4; ++n)
            threads.emplace_back([this] { client_io.run(); });
    }
    client_on_several_workers(const client_on_several_workers&) = delete;
    client_on_several_workers& operator=(const client_on_several_workers&) =
        delete;
    ~client_on_several_workers()
    {
        client_work.reset();
        server_io.stop();
        for (auto& t : threads)
            t.join();
        stop(service);
    }

    asio::io_context server_io;
    asio::io_context client_io;
    asio::executor_work_guard<asio::io_context::executor_type> client_work{
        client_io.get_executor()};
    standins::platform_ptr service =
        standins::start_platform(server_io.get_executor(), {});
    client_ptr it = make_client(client_io.get_executor(),
                                {{"127.0.0.1", port_of(service)}, 20s, 4});
    std::vector<std::thread> threads;
};

struct client_of_a_platform
{
    client_of_a_platform() = default;
    client_of_a_platform(const client_of_a_platform&) = delete;
    client_of_a_platform& operator=(const client_of_a_platform&) = delete;
    ~client_of_a_platform()
    {
        stop(service);
        io.restart();
        io.poll();
    }

    void post(const std::string& path, const std::string& body)
    {
        const auto l =
            std::get<http::link_ptr>(result_of<core::result<http::link_ptr>>(
                io, [&](auto handler)
                { http::open_link(io.get_executor(), at, 5s, handler); }));
        result_of<http::exchange_result>(
            io,
            [&](auto handler)
            {
                http::exchange(l, {http::method::post, path, body},
                               core::runtime_clock::now() + 5s, handler);
            });
    }

    asio::io_context io;
    standins::platform_ptr service =
        standins::start_platform(io.get_executor(), {});
    core::endpoint at{"127.0.0.1", port_of(service)};
    client_ptr it = make_client(io.get_executor(), {at, 2s, 4});
};

/// A server that holds every call until the test answers it.
struct client_of_a_stub
{
    client_of_a_stub()
    {
        standins::http_hooks hooks;
        hooks.on_request = [this](const standins::http_session_ptr& s,
                                  const standins::http_request&)
        {
            numbers.insert(number_of(s));
            held.push_back(s);
        };
        server = standins::listen(io.get_executor(), "127.0.0.1", 0, hooks);
        it = make_client(io.get_executor(),
                         {{"127.0.0.1", port_of(server)}, 2s, 2});
    }
    client_of_a_stub(const client_of_a_stub&) = delete;
    client_of_a_stub& operator=(const client_of_a_stub&) = delete;
    ~client_of_a_stub()
    {
        held.clear();
        stop(server);
        io.restart();
        io.poll();
    }

    void start_reads(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i)
            read_row(it, "t", "k",
                     [this](row_result r) { done.push_back(std::move(r)); });
    }

    void answer_held()
    {
        auto all = std::move(held);
        held.clear();
        for (const auto& s : all)
            reply(s, {200, R"({"value":"v","version":1})", false});
    }

    asio::io_context io;
    standins::http_server_ptr server;
    std::vector<standins::http_session_ptr> held;
    std::set<std::uint64_t> numbers;
    client_ptr it;
    std::vector<row_result> done;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_client_uses_the_platform, client_of_a_platform)

BOOST_AUTO_TEST_SUITE(while_it_works)

// Guards against two claims of one term that both succeed.
BOOST_AUTO_TEST_CASE(a_row_is_written_once_per_version)
{
    BOOST_TEST((kind_of(read(io, it)) == error_kind::not_found));
    BOOST_TEST(std::get<std::uint64_t>(write(io, it, "a", 0)) == 1);
    BOOST_TEST((kind_of(write(io, it, "b", 0)) == error_kind::conflict));
    BOOST_TEST(std::get<std::uint64_t>(write(io, it, "c", 1)) == 2);
    const auto r = std::get<versioned_value>(read(io, it));
    BOOST_TEST(r.value == "c");
    BOOST_TEST(r.version == 2);
}

// Guards against file sets that change on their way through the store.
BOOST_AUTO_TEST_CASE(an_object_keeps_every_byte)
{
    const std::string value("\0\xff\r\n{", 5);
    using stored = core::result<std::monostate>;
    using found = core::result<std::string>;
    const auto get = [&](auto handler)
    {
        get_object(it, "d", handler);
    };
    BOOST_TEST((kind_of(result_of<found>(io, get)) == error_kind::not_found));
    BOOST_TEST(core::ok(result_of<stored>(
        io, [&](auto handler) { put_object(it, "d", value, handler); })));
    BOOST_TEST(std::get<std::string>(result_of<found>(io, get)) == value);
}

BOOST_AUTO_TEST_CASE(the_host_list_is_read)
{
    post("/hosts",
         R"({"hosts":[{"name":"h","kind":"host","state":"leaving"}]})");
    const auto r = result_of<core::result<host_list>>(
        io, [&](auto handler) { list_hosts(it, handler); });
    const auto& hosts = std::get<host_list>(r);
    BOOST_TEST(hosts.version == 1U);
    BOOST_TEST(hosts.entries.size() == 1);
    BOOST_TEST((hosts.entries.at(0).state == host_state::leaving));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_it_fails)

// Guards against a write that is taken for failed although it took effect
// (F8).
BOOST_AUTO_TEST_CASE(a_lost_answer_leaves_the_write_readable)
{
    post("/faults", R"({"lose_answers":1})");
    BOOST_TEST(
        (kind_of(write(io, it, "a", 0)) == error_kind::store_unavailable));
    BOOST_TEST(std::get<versioned_value>(read(io, it)).value == "a");
}

BOOST_AUTO_TEST_CASE(calls_fail_while_it_is_down_and_work_again_after)
{
    post("/faults", R"({"down":true})");
    BOOST_TEST(
        (kind_of(write(io, it, "a", 0)) == error_kind::store_unavailable));
    post("/faults", R"({"down":false})");
    BOOST_TEST((kind_of(read(io, it)) == error_kind::not_found));
}

// Guards against an idle connection that the service has closed (a restart).
BOOST_AUTO_TEST_CASE(a_restart_between_two_calls_is_not_noticed)
{
    write(io, it, "a", 0);
    stop(service);
    service =
        standins::start_platform(io.get_executor(), {at.address, at.port, {}});
    BOOST_TEST((kind_of(read(io, it)) == error_kind::not_found));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_an_outage)
{
    stop(service);
    BOOST_TEST((kind_of(read(io, it)) == error_kind::store_unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(several_workers_share_a_client,
                         client_on_several_workers)

// Guards against a race between workers, with ThreadSanitizer.
BOOST_AUTO_TEST_CASE(every_call_is_answered_once)
{
    constexpr int calls = 60;
    std::promise<void> all;
    std::atomic<int> left{calls};
    std::atomic<int> written{0};
    for (int n = 0; n < calls; ++n)
        write_row(it, "t", std::to_string(n), "v", 0,
                  [&](const version_result& r)
                  {
                      written += core::ok(r) ? 1 : 0;
                      if (--left == 0)
                          all.set_value();
                  });
    all.get_future().wait();
    BOOST_TEST(written == calls);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_client_has_many_calls, client_of_a_stub)

// Guards against a slow store that takes all connections (F7).
BOOST_AUTO_TEST_CASE(only_the_allowed_number_runs_and_connections_are_reused)
{
    start_reads(6);
    while (done.size() < 6)
    {
        standins::run_until(io, [&] { return held.size() == 2; });
        io.poll();
        BOOST_TEST(held.size() == 2);
        answer_held();
        const auto n = done.size() + 2;
        standins::run_until(io, [&] { return done.size() == n; });
    }
    BOOST_TEST(numbers.size() == 2);
}

// Guards against memory that grows while the store is slow.
BOOST_AUTO_TEST_CASE(a_full_queue_refuses_at_once)
{
    start_reads(2 + longest_queue + 1);
    standins::run_until(io, [&] { return !done.empty(); });
    BOOST_TEST(done.size() == 1);
    BOOST_TEST((kind_of(done.front()) == error_kind::store_unavailable));
}

// Guards against calls that wait for ever behind silent ones.
BOOST_AUTO_TEST_CASE(calls_that_run_and_calls_that_wait_end_at_the_timeout)
{
    standins::paused_clock pause;
    start_reads(5);
    standins::run_until(io, [&] { return held.size() == 2; });
    core::runtime_clock::advance(2s);
    standins::run_until(io, [&] { return done.size() == 5; });
    BOOST_TEST(
        std::all_of(done.begin(), done.end(),
                    [](const row_result& r)
                    { return kind_of(r) == error_kind::store_unavailable; }));
}

BOOST_AUTO_TEST_SUITE_END()
