#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using godwitbarrow::pooler::test::pooler_fixture;
using namespace std::chrono_literals;

namespace
{

/// Two workspaces, and an open route besides those of the fixture.
struct workspaces_fixture : pooler_fixture
{
    std::uint64_t version = 1;

    workspaces_fixture()
    {
        set_keys({"k-1", "k-2"});
        connect_replicas();
    }

    void set_keys(const std::vector<std::string>& keys,
                  std::size_t connections = 8)
    {
        auto c = pooler_state.active_configuration;
        c.version = ++version;
        c.groups[group].max_connections = connections;
        c.routes["open"] = c.routes["newest"];
        c.routes["open"].open = true;
        c.workspaces = {};
        c.workspaces.required = true;
        for (const auto& key : keys)
            c.workspaces.keys[workspaces::hash_key(key)] = {"of-" + key};
        post(configuration_changed{c});
    }

    void connect_caller(session_number session, const std::string& database,
                        const std::string& key)
    {
        post(caller_started{session, database, workspaces::hash_key(key)});
    }

    void admit(session_number session, const std::string& database,
               const std::string& key)
    {
        connect_caller(session, database, key);
        BOOST_REQUIRE(first_of<accept_caller>());
    }

    /// Runs a write of the session; returns the connection that it used.
    connection_number write(session_number session)
    {
        query(session, verb::write, "WRITE 1 x");
        const auto c = sent().connection;
        succeed(c, {1, 5}, session_state::idle, "signed");
        BOOST_REQUIRE_EQUAL(outcome(session), "success");
        return c;
    }

    std::string workspace_of(connection_number connection) const
    {
        return pooler_state.connections.at(connection).workspace.value;
    }
};

failure_code code_of(const answer& it)
{
    const auto* f = failure_of(it);
    BOOST_REQUIRE(f);
    return f->code;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_caller_with_a_key)

BOOST_FIXTURE_TEST_CASE(is_refused_if_the_key_is_unknown, workspaces_fixture)
{
    connect_caller(1, "newest", "k-3");
    const auto refused = first_of<refuse_caller>();
    BOOST_REQUIRE(refused);
    BOOST_TEST((refused->reason.code == failure_code::not_admitted));
    BOOST_TEST(refused->reason.text.find("k-3") == std::string::npos);
    connect_caller(2, "open", "k-3");
    BOOST_TEST(first_of<accept_caller>().has_value());
}

// Guards against a session that the host accepted before it had read a
// configuration, and which then runs statements under an unknown key.
BOOST_AUTO_TEST_CASE(is_checked_at_its_statement_if_it_came_too_early)
{
    workspaces_fixture host;
    const auto config = host.pooler_state.active_configuration;
    host.pooler_state.active_configuration = {};
    host.admit(1, "newest", "k-3");
    host.post(configuration_changed{config});
    host.query(1, verb::write, "WRITE 1 x");
    BOOST_REQUIRE(host.reply(1));
    BOOST_TEST((code_of(*host.reply(1)) == failure_code::not_admitted));
    BOOST_TEST(host.all_of<send_to_member>().empty());
}

BOOST_AUTO_TEST_SUITE(that_is_withdrawn)

BOOST_FIXTURE_TEST_CASE(is_refused_and_disconnected_at_its_next_statement,
                        workspaces_fixture)
{
    admit(1, "newest", "k-1");
    write(1);
    set_keys({"k-2"});
    query(1, verb::write, "WRITE 1 x");
    BOOST_REQUIRE(reply(1));
    BOOST_TEST((code_of(*reply(1)) == failure_code::not_admitted));
    BOOST_TEST(all_of<send_to_member>().empty());
    BOOST_TEST(first_of<close_caller>().has_value());
}

// Guards against a transaction that commits under a key which is not valid any
// more, or that is answered as refused without being rolled back.
BOOST_FIXTURE_TEST_CASE(has_its_transaction_rolled_back, workspaces_fixture)
{
    admit(1, "newest", "k-1");
    query(1, verb::begin);
    query(1, verb::write, "WRITE 1 x");
    const auto c = sent().connection;
    succeed(c, {1, 5}, session_state::in_transaction);
    succeed(c, {1, 5}, session_state::in_transaction, "signed");
    set_keys({"k-2"});
    query(1, verb::commit);
    BOOST_TEST(outcome(1) == "aborted");
    const auto rolled_back = first_of<send_to_member>();
    BOOST_REQUIRE(rolled_back);
    BOOST_TEST((rolled_back->statements.front().stmt.kind == verb::rollback));
    query(1, verb::write, "WRITE 1 x");
    BOOST_REQUIRE(reply(1));
    BOOST_TEST((code_of(*reply(1)) == failure_code::not_admitted));
}

BOOST_FIXTURE_TEST_CASE(is_not_admitted_again_by_an_older_configuration,
                        workspaces_fixture)
{
    const auto older = pooler_state.active_configuration;
    set_keys({"k-2"});
    post(configuration_changed{older});
    connect_caller(1, "newest", "k-1");
    BOOST_TEST(first_of<refuse_caller>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_connection_to_a_member)

// Guards against statements that a member attributes to another workspace than
// that of the caller.
BOOST_FIXTURE_TEST_CASE(works_for_one_workspace, workspaces_fixture)
{
    admit(1, "newest", "k-1");
    admit(2, "newest", "k-2");
    admit(3, "newest", "k-1");
    admit(4, "open", "unknown");
    const auto first = write(1);
    const auto second = write(2);
    BOOST_TEST(workspace_of(first) == "of-k-1");
    BOOST_TEST(workspace_of(second) == "of-k-2");
    BOOST_TEST(write(3) == first);
    BOOST_TEST(workspace_of(write(4)).empty());
}

// Guards against a workspace that never gets a connection because others hold
// all that the member accepts.
BOOST_FIXTURE_TEST_CASE(replaces_the_least_recently_used_at_the_limit,
                        workspaces_fixture)
{
    set_keys({"k-1", "k-2", "k-3"}, 2);
    admit(1, "newest", "k-1");
    admit(2, "newest", "k-2");
    admit(3, "newest", "k-3");
    const auto first = write(1);
    now += 10ms;
    const auto second = write(2);
    now += 10ms;
    write(1);
    now += 10ms;
    query(3, verb::write, "WRITE 1 x");
    const auto closed = first_of<close_connection>();
    BOOST_REQUIRE(closed);
    BOOST_TEST(closed->connection == second);
    BOOST_TEST(pooler_state.connections.count(first) == 1U);
    BOOST_TEST(workspace_of(connect().connection) == "of-k-3");
}

// Guards against a connection that is closed for a statement of one workspace
// while a waiting statement of its own workspace could use it.
BOOST_FIXTURE_TEST_CASE(is_kept_if_a_statement_waits_for_it, workspaces_fixture)
{
    set_keys({"k-1", "k-2"}, 1);
    admit(1, "newest", "k-1");
    admit(2, "newest", "k-2");
    admit(3, "newest", "k-1");
    query(1, verb::write, "WRITE 1 x");
    const auto c = connect().connection;
    query(2, verb::write, "WRITE 1 x");
    query(3, verb::write, "WRITE 1 x");
    succeed(c, {1, 5}, session_state::idle, "signed");
    BOOST_REQUIRE(first_of<send_to_member>());
    BOOST_TEST(first_of<send_to_member>()->connection == c);
    succeed(c, {1, 6}, session_state::idle, "signed");
    BOOST_TEST(workspace_of(connect().connection) == "of-k-2");
}

BOOST_AUTO_TEST_SUITE_END()
