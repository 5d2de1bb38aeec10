#include "godwitbarrow/backend/connection.hpp"

#include <boost/test/unit_test.hpp>

#include "godwitbarrow/http/link.hpp"
#include "godwitbarrow/standins/database.hpp"
#include "godwitbarrow/standins/test_loop.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::backend;
using namespace std::chrono_literals;
using core::access_mode;
using core::error_kind;
using core::reply_status;
using standins::result_of;

namespace
{

using opened = core::result<connection_ptr>;
using status_result = core::result<core::member_status>;
using rows = std::vector<std::string>;

standins::database_options primary_options()
{
    standins::database_options o;
    o.name = "a";
    o.slots = 1;
    o.connections = 2;
    o.role = core::member_role::primary;
    return o;
}

struct client_of_a_primary
{
    client_of_a_primary() = default;
    client_of_a_primary(const client_of_a_primary&) = delete;
    client_of_a_primary& operator=(const client_of_a_primary&) = delete;
    ~client_of_a_primary()
    {
        stop(server);
        io.restart();
        io.poll();
    }

    opened try_open()
    {
        return result_of<opened>(
            io, [&](auto handler)
            { open_connection(io.get_executor(), at, 5s, handler); });
    }

    connection_ptr open()
    {
        return std::get<connection_ptr>(try_open());
    }

    static statement_call call_of(access_mode access, const std::string& text)
    {
        return {{"r"}, 1, access, text, false, {}};
    }

    core::backend_reply run(const connection_ptr& on, const statement_call& c)
    {
        const auto r = result_of<execute_result>(
            io, [&](auto handler)
            { execute(on, c, core::runtime_clock::now() + 5s, handler); });
        return std::get<core::backend_reply>(r);
    }

    rows get(const connection_ptr& on)
    {
        return run(on, call_of(access_mode::read, "get k")).rows;
    }

    void set_fault(const std::string& body)
    {
        const auto l =
            std::get<http::link_ptr>(result_of<core::result<http::link_ptr>>(
                io, [&](auto handler)
                { http::open_link(io.get_executor(), at, 5s, handler); }));
        result_of<http::exchange_result>(
            io,
            [&](auto handler)
            {
                http::exchange(l, {http::method::post, "/faults", body},
                               core::runtime_clock::now() + 5s, handler);
            });
    }

    boost::asio::io_context io;
    standins::database_ptr server =
        standins::start_database(io.get_executor(), primary_options());
    core::endpoint at{"127.0.0.1", port_of(server)};
};

struct open_connection_to_a_primary : client_of_a_primary
{
    connection_ptr it = open();
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_connection_is_opened, client_of_a_primary)

BOOST_AUTO_TEST_CASE(a_server_that_is_gone_gives_no_connection)
{
    stop(server);
    const auto r = try_open();
    BOOST_TEST((std::get<core::error>(r).kind == error_kind::no_connection));
}

// Guards against a connection that counts as open and is then refused.
BOOST_AUTO_TEST_CASE(the_limit_of_the_server_gives_no_connection)
{
    const auto first = open();
    const auto second = open();
    const auto r = try_open();
    BOOST_TEST((std::get<core::error>(r).kind == error_kind::no_connection));
    close(first);
    standins::run_until(io, [&] { return core::ok(try_open()); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_statement_is_sent, open_connection_to_a_primary)

BOOST_AUTO_TEST_CASE(and_its_reply_has_the_request_id_and_position)
{
    const auto r = run(it, call_of(access_mode::write, "put k v"));
    BOOST_TEST((r.status == reply_status::executed));
    BOOST_TEST(r.id.value == "r");
    BOOST_TEST(r.at == (core::log_position{1, 1}));
    BOOST_TEST(get(it) == rows{"v"});
}

// Guards against a slot limit that the client sees as a failure.
BOOST_AUTO_TEST_CASE(a_server_without_a_free_slot_is_busy)
{
    stop(server);
    auto o = primary_options();
    o.service_time = 1h;
    server = standins::start_database(io.get_executor(), o);
    at.port = port_of(server);
    const auto first = open();
    execute(first, call_of(access_mode::read, "get k"),
            core::runtime_clock::now() + 1h, [](const execute_result&) {});
    const auto second = open();
    const auto c = call_of(access_mode::read, "get k");
    BOOST_TEST((run(second, c).status == reply_status::busy));
}

BOOST_AUTO_TEST_SUITE(inside_a_transaction)

// Guards against a lost transaction that still takes effect (F3).
BOOST_AUTO_TEST_CASE(a_close_rolls_it_back)
{
    run(it, call_of(access_mode::begin, ""));
    run(it, call_of(access_mode::statement, "put k v"));
    close(it);
    const auto other = open();
    BOOST_TEST(get(other).empty());
    const auto r = run(other, call_of(access_mode::commit, ""));
    BOOST_TEST((r.status == reply_status::rejected));
}

// Guards against statements of two sessions in one transaction (P3).
BOOST_AUTO_TEST_CASE(only_its_own_connection_sees_it)
{
    const auto other = open();
    run(it, call_of(access_mode::begin, ""));
    run(it, call_of(access_mode::statement, "put k v"));
    BOOST_TEST(get(other).empty());
    run(it, call_of(access_mode::commit, ""));
    BOOST_TEST(get(other) == rows{"v"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_the_connection_goes_silent)

// Guards against a statement that may have run and is reported as not sent,
// and against the reuse of a silent connection (F11).
BOOST_AUTO_TEST_CASE(it_fails_as_sent_and_new_connections_work)
{
    set_fault(R"({"silence_connections":true})");
    standins::paused_clock pause;
    std::optional<execute_result> result;
    execute(it, call_of(access_mode::write, "put k v"),
            core::runtime_clock::now() + 1s,
            [&](const execute_result& r) { result = r; });
    io.poll();
    core::runtime_clock::advance(1s);
    standins::run_until(io, [&] { return result.has_value(); });
    BOOST_TEST(std::get<send_failure>(*result).any_byte_sent);
    BOOST_TEST(!is_open(it));
    BOOST_TEST(get(open()).empty());
}

BOOST_AUTO_TEST_CASE(a_probe_finds_out_and_closes_it)
{
    const auto ask = [&](auto handler)
    {
        probe(it, 50ms, handler);
    };
    using probed = core::result<std::monostate>;
    BOOST_TEST(core::ok(
        result_of<probed>(io, [&](auto handler) { probe(it, 5s, handler); })));
    set_fault(R"({"silence_connections":true})");
    const auto r = result_of<probed>(io, ask);
    BOOST_TEST((std::get<core::error>(r).kind == error_kind::connection_lost));
    BOOST_TEST(!is_open(it));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_member_is_controlled, open_connection_to_a_primary)

// Guards against acknowledgements that wait for the next poll.
BOOST_AUTO_TEST_CASE(a_status_request_is_answered_by_a_change)
{
    const auto writer = open();
    std::optional<status_result> status;
    read_status(it, 0, 1h, 2h, [&](const status_result& r) { status = r; });
    run(writer, call_of(access_mode::write, "put k v"));
    standins::run_until(io, [&] { return status.has_value(); });
    BOOST_TEST(std::get<core::member_status>(*status).position == 1);
}

// Guards against a refused fence or promotion that looks like a success.
BOOST_AUTO_TEST_CASE(terms_are_accepted_and_refused)
{
    const auto fenced = [&](core::term_number term, const char* attempt)
    {
        return result_of<status_result>(
            io, [&](auto handler) { fence(it, term, {attempt}, 5s, handler); });
    };
    const auto promoted = [&](core::term_number term, const char* attempt)
    {
        return result_of<status_result>(
            io,
            [&](auto handler) { promote(it, term, {attempt}, 5s, handler); });
    };
    BOOST_TEST(std::get<core::member_status>(fenced(2, "x")).term == 2);
    BOOST_TEST(
        (std::get<core::error>(fenced(2, "y")).kind == error_kind::fenced));
    BOOST_TEST(
        (std::get<core::error>(promoted(2, "y")).kind == error_kind::fenced));
    const auto s = std::get<core::member_status>(promoted(2, "x"));
    BOOST_TEST(s.log_term == 2);
    BOOST_TEST((s.role == core::member_role::primary));
    BOOST_TEST(is_open(it));
}

// Guards against an unknown outcome that cannot be looked up.
BOOST_AUTO_TEST_CASE(a_key_is_looked_up)
{
    auto c = call_of(access_mode::write, "append k v");
    c.key = core::idempotency_key{"id"};
    run(it, c);
    const auto find = [&](const char* key)
    {
        return std::get<lookup_answer>(result_of<core::result<lookup_answer>>(
            io, [&](auto handler) { lookup(it, {key}, 5s, handler); }));
    };
    BOOST_TEST(find("id").stored->rows == rows{"v"});
    BOOST_TEST(!find("other").stored.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
