#include "godwitbarrow/gateway/server.hpp"

#include <boost/test/unit_test.hpp>
#include <future>
#include <optional>

#include "http_client.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::gateway;
using namespace std::chrono_literals;
using namespace http_test;

namespace
{

const std::string read_body =
    R"({"group":"g","kind":"k","access":"read","statement":"get a"})";

/// The default limit of a body.
constexpr std::size_t body_limit = 65536;

core::outcome rows_of(const std::string& row)
{
    return core::completed{{row}, {"s1"}, {1, 2}, {}};
}

/// Answers each request with its own statement.
void echo(const parsed_request& it, const responder& respond)
{
    respond(rows_of(it.request.statement), "t1");
}

struct running_gateway : workers
{
    ~running_gateway()
    {
        if (server)
            stop(server);
    }

    void start(gateway_handlers handlers, const gateway_limits& limits = {})
    {
        server = std::get<gateway_ptr>(start_gateway(
            io.get_executor(), any_port, limits, std::move(handlers)));
    }

    client connect() const
    {
        return client(local_endpoint(server));
    }

    gateway_ptr server;
};

/// Keeps requests unanswered until the test answers them.
struct holding_gateway : running_gateway
{
    void hold(const gateway_limits& limits = {})
    {
        start({[this](const parsed_request&, responder respond)
               { held.set_value(std::move(respond)); },
               [this](const core::request_id& id)
               {
                   gone.set_value(id);
               }},
              limits);
    }

    std::promise<responder> held;
    std::promise<core::request_id> gone;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_caller_connects, running_gateway)

BOOST_AUTO_TEST_CASE(its_request_is_answered_with_the_same_id)
{
    start({echo, {}});
    auto it = connect();
    it.send(post(read_body, "X-Request-Id: r7\r\n"));
    const auto got = it.receive();
    BOOST_TEST(got.result_int() == 200U);
    BOOST_TEST(got["X-Request-Id"] == "r7");
    BOOST_TEST(field(got, "request_id") == "r7");
    BOOST_TEST(field(got, "token") == "t1");
    BOOST_TEST(got.keep_alive());
}

// Guards against answers that are mixed up between pipelined requests.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order)
{
    start({echo, {}});
    auto it = connect();
    std::string all;
    for (int n = 0; n < 20; ++n)
        all += post(read_body, "X-Request-Id: r" + std::to_string(n) + "\r\n");
    it.send(all);
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(it.receive()["X-Request-Id"] == "r" + std::to_string(n));
}

// Guards against a parser that needs a whole request in one read.
BOOST_AUTO_TEST_CASE(a_request_may_arrive_byte_by_byte)
{
    start({echo, {}});
    auto it = connect();
    it.socket.set_option(asio::ip::tcp::no_delay(true));
    for (const char c : post(read_body))
        it.send({&c, 1});
    BOOST_TEST(it.receive().result_int() == 200U);
}

// Guards against a second of delay for clients that ask before they send a
// body.
BOOST_AUTO_TEST_CASE(a_caller_that_expects_100_continue_is_told_to_go_on)
{
    start({echo, {}});
    auto it = connect();
    const auto whole = post(read_body, "Expect: 100-continue\r\n");
    const auto header = whole.size() - read_body.size();
    it.send(whole.substr(0, header));
    BOOST_TEST(it.receive().result_int() == 100U);
    it.send(whole.substr(header));
    BOOST_TEST(it.receive().result_int() == 200U);
}

// Guards against a caller that waits for ever when a request is lost inside.
BOOST_AUTO_TEST_CASE(a_request_that_the_handler_drops_is_unknown)
{
    start({[](const parsed_request&, const responder&) {}, {}});
    auto it = connect();
    it.send(post(read_body));
    const auto got = it.receive();
    BOOST_TEST(got.result_int() == 504U);
    BOOST_TEST(field(got, "outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(a_retry_hint_is_also_sent_as_a_header)
{
    start({[](const parsed_request&, const responder& respond) {
               respond(
                   core::not_run{{core::error_kind::overloaded, "m"}, 1200ms},
                   "");
           },
           {}});
    auto it = connect();
    it.send(post(read_body));
    const auto got = it.receive();
    BOOST_TEST(got.result_int() == 503U);
    BOOST_TEST(got[http::field::retry_after] == "2");
}

BOOST_AUTO_TEST_SUITE(and_sends_something_else)

// Guards against errors that a client library cannot tell apart.
BOOST_AUTO_TEST_CASE(each_fault_has_a_status_and_a_kind)
{
    start({echo, {}});
    const auto expect =
        [&](const std::string& bytes, unsigned status, const char* kind)
    {
        auto it = connect();
        it.send(bytes);
        const auto got = it.receive();
        BOOST_TEST(got.result_int() == status);
        BOOST_TEST(field(got, "error") == kind);
        BOOST_TEST(field(got, "outcome") == "not_run");
    };
    expect(post(read_body, "", "/v2/execute"), 404, "not_found");
    expect(get("/v1/execute"), 405, "malformed_request");
    expect(post("{"), 400, "malformed_request");
    expect(post("[]"), 400, "malformed_request");
    expect(post(read_body, "X-Request-Id: a b\r\n"), 400, "malformed_request");
    expect("hello\r\n\r\n", 400, "malformed_request");
}

BOOST_AUTO_TEST_CASE(the_connection_goes_on_after_a_malformed_body)
{
    start({echo, {}});
    auto it = connect();
    it.send(post("{") + post(read_body));
    BOOST_TEST(it.receive().result_int() == 400U);
    BOOST_TEST(it.receive().result_int() == 200U);
}

BOOST_AUTO_TEST_CASE(half_a_request_gets_a_typed_error)
{
    start({echo, {}});
    auto it = connect();
    it.send(post(read_body).substr(0, 60));
    it.socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    const auto got = it.receive();
    BOOST_TEST(got.result_int() == 400U);
    BOOST_TEST(field(got, "error") == "malformed_request");
    BOOST_TEST(it.ended());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(and_exceeds_a_limit)

// Guards against a body that is buffered before its size is checked.
BOOST_AUTO_TEST_CASE(a_body_above_the_limit_is_too_large)
{
    start({echo, {}});
    auto it = connect();
    it.send(post(std::string(body_limit + 1, 'x')));
    const auto got = it.receive();
    BOOST_TEST(got.result_int() == 413U);
    BOOST_TEST(field(got, "error") == "request_too_large");
    it.socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    BOOST_TEST(it.ended());
}

BOOST_AUTO_TEST_CASE(a_chunked_body_above_the_limit_is_too_large)
{
    start({echo, {}});
    auto it = connect();
    it.send(
        "POST /v1/execute HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "20000\r\n" +
        std::string(0x20000, 'x'));
    BOOST_TEST(it.receive().result_int() == 413U);
}

BOOST_AUTO_TEST_CASE(a_body_at_the_limit_is_parsed)
{
    start({echo, {}});
    auto it = connect();
    it.send(post(read_body + std::string(body_limit - read_body.size(), ' ')));
    BOOST_TEST(it.receive().result_int() == 200U);
}

BOOST_AUTO_TEST_CASE(a_header_above_the_limit_is_too_large)
{
    start({echo, {}});
    auto it = connect();
    it.send(post(read_body, "X-Pad: " + std::string(8192, 'x') + "\r\n"));
    const auto got = it.receive();
    BOOST_TEST(got.result_int() == 431U);
    BOOST_TEST(field(got, "error") == "request_too_large");
}

// Guards against running out of file descriptors.
BOOST_AUTO_TEST_CASE(a_connection_above_the_limit_is_refused)
{
    gateway_limits limits;
    limits.open_connections = 2;
    start({echo, {}}, limits);
    auto a = connect();
    auto b = connect();
    a.send(post(read_body));
    b.send(post(read_body));
    a.receive();
    b.receive();
    auto c = connect();
    const auto got = c.receive();
    BOOST_TEST(got.result_int() == 503U);
    BOOST_TEST(field(got, "error") == "overloaded");
    a.send(post(read_body));
    BOOST_TEST(a.receive().result_int() == 200U);
    BOOST_TEST(open_connections(server) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_caller_goes_away_before_its_answer, holding_gateway)

// Guards against work for a caller that no longer waits.
BOOST_AUTO_TEST_CASE(the_handler_is_told)
{
    hold();
    auto it = connect();
    it.send(post(read_body, "X-Request-Id: r7\r\n"));
    const auto respond = held.get_future().get();
    it.socket.close();
    BOOST_TEST(gone.get_future().get().value == "r7");
    respond(rows_of("a"), "");
}

// Guards against dropping the answer of a caller that only closed its sending
// side.
BOOST_AUTO_TEST_CASE(a_caller_that_still_reads_gets_the_answer)
{
    hold();
    auto it = connect();
    it.send(post(read_body));
    const auto respond = held.get_future().get();
    it.socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    gone.get_future().get();
    respond(rows_of("a"), "");
    BOOST_TEST(it.receive().result_int() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(the_proxy_shuts_down, holding_gateway)

// Guards against a shutdown that interrupts a request in flight.
BOOST_AUTO_TEST_CASE(a_request_in_flight_is_answered_and_then_closed)
{
    hold();
    auto it = connect();
    it.send(post(read_body));
    const auto respond = held.get_future().get();
    BOOST_TEST(requests_in_flight(server) == 1U);
    stop_accepting(server);
    close_idle(server);
    respond(rows_of("a"), "");
    const auto got = it.receive();
    BOOST_TEST(got.result_int() == 200U);
    BOOST_TEST(!got.keep_alive());
    BOOST_TEST(it.ended());
}

// Guards against a caller whose connection was established, but not yet
// accepted or used, when the host stopped: it was reset, and the caller could
// not know whether its request had run (finding graceful-shutdown).
BOOST_AUTO_TEST_CASE(a_connection_that_is_still_queued_is_served)
{
    bool answered = false;
    gateway_handlers handlers;
    handlers.on_request = [&](const parsed_request& what, const responder& to)
    {
        echo(what, to);
        answered = true;
    };
    asio::io_context own;
    const auto queued = std::get<gateway_ptr>(
        start_gateway(own.get_executor(), any_port, {}, handlers));
    own.poll();
    client it(local_endpoint(queued));
    stop_accepting(queued);
    close_idle(queued);
    own.poll();
    it.send(post(read_body));
    while (!answered && own.run_one_for(5s) > 0)
    {
    }
    BOOST_REQUIRE(answered);
    own.poll();
    BOOST_TEST(it.receive().result_int() == 200U);
    BOOST_TEST(it.ended());
}

BOOST_AUTO_TEST_CASE(a_connection_without_a_request_yet_is_served)
{
    start({echo, {}});
    auto it = connect();
    while (open_connections(server) == 0)
        std::this_thread::yield();
    close_idle(server);
    it.send(post(read_body));
    BOOST_TEST(it.receive().result_int() == 200U);
    BOOST_TEST(it.ended());
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed)
{
    start({echo, {}});
    auto it = connect();
    it.send(post(read_body));
    it.receive();
    close_idle(server);
    BOOST_TEST(it.ended());
}

BOOST_AUTO_TEST_CASE(no_new_connection_is_accepted)
{
    start({echo, {}});
    connect();
    stop_accepting(server);
    // The port closes after a moment; until then the backlog takes connections.
    bool refused = false;
    while (!refused)
    {
        asio::io_context other;
        asio::ip::tcp::socket it(other);
        const auto to = local_endpoint(server);
        error_code ec;
        it.connect({asio::ip::make_address(to.address), to.port}, ec);
        refused = ec == asio::error::connection_refused;
    }
    BOOST_TEST(refused);
}

BOOST_AUTO_TEST_CASE(a_hard_stop_closes_every_connection)
{
    hold();
    auto it = connect();
    it.send(post(read_body));
    const auto respond = held.get_future().get();
    stop(server);
    BOOST_TEST(it.ended());
    respond(rows_of("a"), "");
}

BOOST_AUTO_TEST_SUITE_END()
