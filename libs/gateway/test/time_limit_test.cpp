#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/gateway/server.hpp"
#include "http_client.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::gateway;
using namespace std::chrono_literals;
using namespace http_test;

namespace
{

const std::string request =
    post(R"({"group":"g","kind":"k","access":"read","statement":"get a"})");

/// Server and client on this thread, so that the clock moves only between two
/// steps.
struct paused_gateway
{
    paused_gateway()
    {
        core::runtime_clock::pause();
        const auto answer =
            [this](const parsed_request&, const responder& respond)
        {
            respond(core::completed{{row}, {"s"}, {1, 1}, {}}, "");
        };
        server = std::get<gateway_ptr>(
            start_gateway(io.get_executor(), any_port, {}, {answer, {}}));
        const auto to = local_endpoint(server);
        socket.connect({asio::ip::make_address(to.address), to.port});
    }
    ~paused_gateway()
    {
        core::runtime_clock::resume();
    }

    /// Empty if the connection ended.
    std::optional<response> receive()
    {
        response got;
        std::optional<error_code> done;
        http::async_read(socket, buf, got,
                         [&](const error_code& ec, std::size_t) { done = ec; });
        while (!done)
            io.run_one();
        io.poll();
        return *done ? std::nullopt : std::optional(got);
    }

    asio::io_context io;
    std::string row = "a";
    gateway_ptr server;
    asio::ip::tcp::socket socket{io};
    boost::beast::flat_buffer buf;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_caller_is_slow, paused_gateway)

// Guards against a caller that holds a connection with half a request.
BOOST_AUTO_TEST_CASE(half_a_request_times_out_with_a_typed_error)
{
    asio::write(socket, asio::buffer(request + request.substr(0, 50)));
    BOOST_TEST(receive()->result_int() == 200U);
    core::runtime_clock::advance(5s);
    const auto got = receive();
    BOOST_REQUIRE(got);
    BOOST_TEST(got->result_int() == 408U);
    BOOST_TEST(field(*got, "error") == "deadline_exceeded");
    BOOST_TEST(!got->keep_alive());
}

BOOST_AUTO_TEST_CASE(a_keep_alive_connection_is_closed_when_it_is_idle)
{
    asio::write(socket, asio::buffer(request));
    BOOST_TEST(receive()->result_int() == 200U);
    core::runtime_clock::advance(59s);
    asio::write(socket, asio::buffer(request));
    BOOST_TEST(receive()->result_int() == 200U);
    core::runtime_clock::advance(60s);
    BOOST_TEST(!receive());
    BOOST_TEST(open_connections(server) == 0U);
}

BOOST_AUTO_TEST_CASE(a_connection_without_any_request_is_closed)
{
    while (open_connections(server) == 0)
        io.run_one();
    io.poll();
    core::runtime_clock::advance(5s);
    BOOST_TEST(!receive());
}

// Guards against a caller that never reads and so keeps its answer in memory.
BOOST_AUTO_TEST_CASE(an_answer_that_is_not_taken_is_given_up)
{
    row.assign(std::size_t{32} * 1024 * 1024, 'x');
    asio::write(socket, asio::buffer(request));
    while (requests_in_flight(server) == 0)
        io.run_one();
    io.poll();
    core::runtime_clock::advance(5s);
    while (open_connections(server) > 0)
        io.run_one();
    io.poll();
    BOOST_TEST(requests_in_flight(server) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
