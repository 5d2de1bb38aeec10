#include "godwitbarrow/standins/database.hpp"

#include <boost/test/unit_test.hpp>

#include "godwitbarrow/backend/connection.hpp"
#include "godwitbarrow/http/link.hpp"
#include "godwitbarrow/standins/member_state.hpp"
#include "godwitbarrow/standins/test_loop.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::standins;
using namespace std::chrono_literals;
using core::access_mode;
using core::member_status;

namespace
{

/// A group of "a", "b" and "c" in term 1 with "a" as the primary.
struct running_group
{
    running_group()
    {
        for (const std::string name : {"a", "b", "c"})
            start_member(name);
        for (const auto& [name, member] : members)
        {
            auto peers = endpoints;
            peers.erase(name);
            set_peers(member, peers);
        }
        for (const auto& [name, at] : endpoints)
            open(name);
        run_until(io, [&] { return status("b").primary_contact; });
        run_until(io, [&] { return status("c").primary_contact; });
    }
    running_group(const running_group&) = delete;
    running_group& operator=(const running_group&) = delete;
    ~running_group()
    {
        for (const auto& [name, member] : members)
            stop(member);
        io.restart();
        io.run_for(100ms);
    }

    void start_member(const std::string& name)
    {
        database_options o;
        o.name = name;
        o.role = name == "a" ? core::member_role::primary
                             : core::member_role::replica;
        members[name] = start_database(io.get_executor(), o);
        endpoints[name] = {"127.0.0.1", port_of(members[name])};
    }

    void open(const std::string& name)
    {
        using opened = core::result<backend::connection_ptr>;
        links[name] = std::get<backend::connection_ptr>(result_of<opened>(
            io,
            [&](auto handler)
            {
                backend::open_connection(io.get_executor(), endpoints[name], 5s,
                                         handler);
            }));
    }

    member_status status(const std::string& name)
    {
        return std::get<member_status>(result_of<core::result<member_status>>(
            io, [&](auto handler)
            { backend::read_status(links[name], 0, 0ms, 5s, handler); }));
    }

    core::backend_reply run(const std::string& name, access_mode access,
                            const std::string& text, core::term_number term = 1)
    {
        const backend::statement_call c{{"r"}, term, access, text, false, {}};
        return std::get<core::backend_reply>(result_of<backend::execute_result>(
            io,
            [&](auto handler)
            {
                backend::execute(links[name], c,
                                 core::runtime_clock::now() + 5s, handler);
            }));
    }

    void set_fault(const std::string& name, const std::string& body)
    {
        const auto l =
            std::get<http::link_ptr>(result_of<core::result<http::link_ptr>>(
                io,
                [&](auto handler) {
                    http::open_link(io.get_executor(), endpoints[name], 5s,
                                    handler);
                }));
        result_of<http::exchange_result>(
            io,
            [&](auto handler)
            {
                http::exchange(l, {http::method::post, "/faults", body},
                               core::runtime_clock::now() + 5s, handler);
            });
    }

    void promote_b_in_term_2()
    {
        const core::attempt_id x{"x"};
        const auto wait = [&](auto call)
        {
            BOOST_REQUIRE(
                core::ok(result_of<core::result<member_status>>(io, call)));
        };
        for (const auto* name : {"b", "c"})
            wait([&](auto h) { backend::fence(links[name], 2, x, 5s, h); });
        wait([&](auto h) { backend::promote(links["b"], 2, x, 5s, h); });
        wait([&](auto h) { backend::follow(links["c"], 2, {"b"}, 5s, h); });
    }

    boost::asio::io_context io;
    std::map<std::string, database_ptr> members;
    std::map<std::string, core::endpoint> endpoints;
    std::map<std::string, backend::connection_ptr> links;
};

using rows = std::vector<std::string>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(three_members_form_a_group, running_group)

// Guards against a stand-in that acknowledges without replication.
BOOST_AUTO_TEST_CASE(a_write_reaches_the_replicas)
{
    run("a", access_mode::write, "put k v");
    for (const auto* name : {"b", "c"})
    {
        run_until(io, [&] { return status(name).position == 1; });
        BOOST_TEST(run(name, access_mode::read, "get k").rows == rows{"v"});
    }
}

BOOST_AUTO_TEST_SUITE(and_replication_is_paused_at_a_replica)

// Guards against F2 that looks like a loss of the primary.
BOOST_AUTO_TEST_CASE(it_lags_and_keeps_its_contact)
{
    set_fault("b", R"({"pause_replication":true})");
    run("a", access_mode::write, "put k v");
    run_until(io, [&] { return status("c").position == 1; });
    BOOST_TEST(status("b").position == 0);
    BOOST_TEST(status("b").primary_contact);
    set_fault("b", R"({"pause_replication":false})");
    run_until(io, [&] { return status("b").position == 1; });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_the_primary_is_cut_off)

// Guards against F1 that the replicas do not report, and against a returned
// primary that keeps what was never replicated.
BOOST_AUTO_TEST_CASE(a_replica_takes_over_and_the_old_primary_follows)
{
    set_fault("a", R"({"cut_links":true})");
    run("a", access_mode::write, "put lost 1");
    BOOST_TEST(status("b").primary_contact);
    core::runtime_clock::advance(contact_timeout);
    BOOST_TEST(!status("b").primary_contact);
    BOOST_TEST(!status("c").primary_contact);
    promote_b_in_term_2();
    run("b", access_mode::write, "put k v", 2);
    run_until(io, [&] { return status("c").position == 1; });
    set_fault("a", R"({"cut_links":false})");
    BOOST_TEST(core::ok(result_of<core::result<member_status>>(
        io, [&](auto h) { backend::follow(links["a"], 2, {"b"}, 5s, h); })));
    run_until(io, [&] { return status("a").log_term == 2; });
    BOOST_TEST(run("a", access_mode::read, "get lost", 2).rows.empty());
    BOOST_TEST(run("a", access_mode::read, "get k", 2).rows == rows{"v"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_open_connections_go_silent)

// Guards against a fault of connections that cuts a member off for good (F11).
BOOST_AUTO_TEST_CASE(the_replicas_reconnect)
{
    set_fault("a", R"({"silence_connections":true})");
    open("a");
    run("a", access_mode::write, "put k v");
    run_until(io, [&] { return status("b").position == 1; });
    run_until(io, [&] { return status("c").position == 1; });
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
