#include "godwitbarrow/http/link.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "godwitbarrow/standins/http_server.hpp"
#include "godwitbarrow/standins/test_loop.hpp"

using namespace godwitbarrow;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

using opened = core::result<http::link_ptr>;

/// A server that answers "/answer", ignores "/hold" and drops "/drop".
struct server_with_a_client
{
    server_with_a_client()
    {
        standins::http_hooks hooks;
        hooks.on_request = [this](const standins::http_session_ptr& s,
                                  const standins::http_request& r)
        {
            session = s;
            if (r.path == "/answer")
                reply(s, {200, r.verb + r.body, false});
            if (r.path == "/drop")
                drop(s);
        };
        server = standins::listen(io.get_executor(), "127.0.0.1", 0, hooks);
    }
    server_with_a_client(const server_with_a_client&) = delete;
    server_with_a_client& operator=(const server_with_a_client&) = delete;
    ~server_with_a_client()
    {
        session.reset();
        stop(server);
        io.restart();
        io.poll();
    }

    opened open(std::uint16_t port)
    {
        return standins::result_of<opened>(
            io,
            [&](auto handler) {
                http::open_link(io.get_executor(), {"127.0.0.1", port}, 5s,
                                handler);
            });
    }

    http::exchange_result call(const http::link_ptr& on, const char* path)
    {
        return standins::result_of<http::exchange_result>(
            io,
            [&](auto handler)
            {
                http::exchange(on, {http::method::post, path, " body"},
                               core::runtime_clock::now() + 5s, handler);
            });
    }

    asio::io_context io;
    standins::http_server_ptr server;
    standins::http_session_ptr session;
};

struct open_link_of_a_client : server_with_a_client
{
    http::link_ptr it = std::get<http::link_ptr>(open(port_of(server)));
};

http::failure failure_of(const http::exchange_result& r)
{
    return std::get<http::failure>(r);
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_client_opens_a_link, server_with_a_client)

// Guards against an error that does not say what to check.
BOOST_AUTO_TEST_CASE(to_a_port_without_a_server_and_gets_no_connection)
{
    asio::ip::tcp::acceptor unused(io, {asio::ip::address_v4::loopback(), 0});
    const auto port = unused.local_endpoint().port();
    unused.close();
    const auto r = open(port);
    const auto& e = std::get<core::error>(r);
    BOOST_TEST((e.kind == core::error_kind::no_connection));
    BOOST_TEST(e.message.find("check the address") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_client_sends_a_call, open_link_of_a_client)

BOOST_AUTO_TEST_CASE(and_reuses_the_link_after_the_answer)
{
    for (int n = 0; n < 2; ++n)
    {
        const auto r = call(it, "/answer");
        BOOST_TEST(std::get<http::answer>(r).body == "POST body");
    }
    BOOST_TEST(number_of(session) == 1);
}

// Guards against a second call whose answer is taken for the first one's (P4).
BOOST_AUTO_TEST_CASE(while_another_is_in_flight_and_only_that_one_is_sent)
{
    std::optional<http::exchange_result> first;
    http::exchange(it, {http::method::get, "/hold", {}},
                   core::runtime_clock::now() + 5s,
                   [&](http::exchange_result r) { first = std::move(r); });
    BOOST_TEST(!failure_of(call(it, "/answer")).any_byte_sent);
    standins::run_until(io, [&] { return session != nullptr; });
    reply(session, {200, "late", false});
    standins::run_until(io, [&] { return first.has_value(); });
    BOOST_TEST(std::get<http::answer>(*first).body == "late");
}

BOOST_AUTO_TEST_SUITE(and_the_server_misbehaves)

// Guards against a caller that waits on a silent connection (F11).
BOOST_AUTO_TEST_CASE(silence_ends_at_the_deadline_and_closes_the_link)
{
    standins::paused_clock pause;
    std::optional<http::exchange_result> result;
    http::exchange(it, {http::method::get, "/hold", {}},
                   core::runtime_clock::now() + 1s,
                   [&](http::exchange_result r) { result = std::move(r); });
    standins::run_until(io, [&] { return session != nullptr; });
    BOOST_TEST(!result.has_value());
    core::runtime_clock::advance(1s);
    standins::run_until(io, [&] { return result.has_value(); });
    BOOST_TEST(failure_of(*result).timed_out);
    BOOST_TEST(failure_of(*result).any_byte_sent);
    BOOST_TEST(!http::is_open(it));
}

// Guards against "not run" for a statement that may have run (P5).
BOOST_AUTO_TEST_CASE(a_close_without_an_answer_counts_as_sent)
{
    const auto f = failure_of(call(it, "/drop"));
    BOOST_TEST(f.any_byte_sent);
    BOOST_TEST(!f.timed_out);
    BOOST_TEST(!http::is_open(it));
}

// Guards against "unknown" for a statement that never left this host.
BOOST_AUTO_TEST_CASE(a_close_of_the_idle_link_counts_as_not_sent)
{
    call(it, "/answer");
    drop(session);
    BOOST_TEST(!failure_of(call(it, "/answer")).any_byte_sent);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

// Guards against an answer of an earlier use that is taken for this one (P4).
BOOST_FIXTURE_TEST_CASE(bytes_that_nobody_asked_for_make_a_link_unusable,
                        server_with_a_client)
{
    asio::ip::tcp::acceptor raw(io, {asio::ip::address_v4::loopback(), 0});
    const auto it = std::get<http::link_ptr>(open(raw.local_endpoint().port()));
    auto peer = raw.accept();
    asio::write(peer, asio::buffer("HTTP/1.1 200 OK\r\n\r\n", 19));
    BOOST_TEST(!failure_of(call(it, "/answer")).any_byte_sent);
    BOOST_TEST(!http::is_open(it));
}
