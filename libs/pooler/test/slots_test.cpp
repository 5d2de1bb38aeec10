#include "slots.hpp"

#include <rapidcheck.h>

#include "fixture.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;
using namespace godwitbarrow::pooler::test;
using namespace std::chrono_literals;

namespace
{

/// Callers of two workspaces, and callers without one on routes of the same
/// group and of each rank.
struct crowded_fixture : pooler_fixture
{
    std::uint64_t version = 1;

    crowded_fixture()
    {
        limit_connections(1);
    }

    void limit_connections(std::size_t connections)
    {
        auto c = pooler_state.active_configuration;
        c.version = ++version;
        c.groups[group].max_connections = connections;
        for (const auto* name : {"newest", "bounded", "own"})
        {
            auto open = c.routes[name];
            open.open = true;
            c.routes[std::string("open-") + name] = open;
        }
        c.workspaces = {};
        c.workspaces.required = true;
        for (const auto* key : {"k-1", "k-2"})
            c.workspaces.keys[workspaces::hash_key(key)] = {std::string("of-") +
                                                            key};
        post(configuration_changed{c});
    }

    void start_for(session_number session, const std::string& database,
                   const std::string& key)
    {
        if (pooler_state.sessions.count(session) > 0)
            return;
        std::optional<workspaces::key_hash> hash;
        if (!key.empty())
            hash = workspaces::hash_key(key);
        post(caller_started{session, database, hash});
    }

    /// Starts a write of a session that has none; returns what the host sends.
    std::optional<send_to_member> write(session_number session)
    {
        query(session, verb::write, "WRITE 1 x");
        return first_of<send_to_member>();
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_slot_of_a_queue)

BOOST_AUTO_TEST_SUITE(is_given_back)

// Guards against a slot that is lost because the search for another statement
// closed the connection of the one that was chosen (review case 11): a caller
// without a workspace makes room for its own connection at the limit.
BOOST_FIXTURE_TEST_CASE(by_a_statement_whose_connection_was_closed,
                        crowded_fixture)
{
    start_for(1, "newest", "k-1");
    start_for(2, "open-bounded", "");
    start_for(3, "newest", "k-1");
    write(1);
    const auto c = connect().connection;
    query(3, verb::write, "WRITE 2 y");
    registration_of("near").leaving = true;
    registration_of("far").leaving = true;
    publish();
    auto route = pooler_state.active_configuration;
    route.version = ++version;
    route.routes["open-bounded"].reads = read_policy::newest;
    post(configuration_changed{route});
    query(2, verb::write, "WRITE 3 z");
    succeed(c, {1, 5}, session_state::idle, "signed");
    BOOST_TEST(!find_lost_slot(pooler_state));
    const auto next = first_of<send_to_member>();
    BOOST_REQUIRE(next);
    BOOST_TEST(pooler_state.connections.at(next->connection).user == 3U);
}

// Guards against a count of running statements that a member keeps from before
// it was registered again, and connections that count for no limit.
BOOST_FIXTURE_TEST_CASE(at_a_member_that_was_registered_again, crowded_fixture)
{
    limit_connections(2);
    start_for(1, "newest", "k-1");
    start_for(2, "newest", "k-1");
    write(1);
    const auto first = connect().connection;
    const auto all = members;
    members.erase(members.begin());
    publish();
    BOOST_TEST(!find_lost_slot(pooler_state));
    members = all;
    publish();
    BOOST_TEST(!find_lost_slot(pooler_state));
    write(2);
    succeed(first, {1, 5}, session_state::idle, "signed");
    BOOST_TEST(!find_lost_slot(pooler_state));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_counted_in_any_history)

namespace
{

constexpr session_number caller_count = 12;

enum class step
{
    start_caller,
    read,
    write,
    begin,
    commit,
    set_value,
    prepare,
    execute,
    disconnect,
    connect_member,
    refuse_connection,
    succeed,
    refuse_as_busy,
    refuse_as_lagging,
    refuse_as_replica,
    fail_statement,
    lose_connection,
    wait,
    wait_long,
    remove_member,
    register_members,
    leave_member,
    move_primary,
    revoke,
    confirm,
    change_limit,
    change_ranks,
    change_shares,
    count
};

struct planned_step
{
    step what = step::start_caller;
    unsigned a = 0;
    unsigned b = 0;
};

// The name is required by rapidcheck.
// NOLINTNEXTLINE(readability-identifier-naming)
void showValue(const planned_step& it, std::ostream& os)
{
    os << "{" << static_cast<int>(it.what) << ", " << it.a << ", " << it.b
       << "}";
}

/// Steps of callers and members come several times as often as faults.
step step_of(int n)
{
    constexpr int ordinary = static_cast<int>(step::refuse_as_busy);
    constexpr int all = static_cast<int>(step::count);
    return static_cast<step>(n < all ? n : n % ordinary);
}

rc::Gen<std::vector<planned_step>> any_history()
{
    constexpr int weight = 4;
    const auto kind = rc::gen::map(
        rc::gen::inRange(0, weight * static_cast<int>(step::count)), step_of);
    return rc::gen::resize(rc::kNominalSize,
                           rc::gen::container<std::vector<planned_step>>(
                               300, rc::gen::construct<planned_step>(
                                        kind, rc::gen::arbitrary<unsigned>(),
                                        rc::gen::arbitrary<unsigned>())));
}

/// The state in which an honest member leaves the connection.
session_state state_after(const state& all, const backend_connection& c)
{
    const auto why = c.outstanding.front();
    if (why == purpose::cleanup)
        return session_state::idle;
    if (why == purpose::begin_read || why == purpose::begin_read_write)
        return session_state::in_transaction;
    const auto s = all.sessions.find(c.user);
    const bool open = s != all.sessions.end() &&
                      s->second.tx.phase == transaction_phase::open;
    const bool commits = open && s->second.current &&
                         s->second.current->request.stmt.kind == verb::commit;
    return open && !commits ? session_state::in_transaction
                            : session_state::idle;
}

struct history : crowded_fixture
{
    std::vector<registration> known = members;
    std::size_t dispatched = 0;

    void apply(const planned_step& it)
    {
        run(it);
        dispatched += all_of<send_to_member>().size();
    }

    /// Returns a connection of the wanted kind; 0 if there is none.
    template <class Wanted>
    connection_number find_connection(unsigned which, Wanted wanted) const
    {
        std::vector<connection_number> found;
        for (const auto& [number, c] : pooler_state.connections)
            if (wanted(c))
                found.push_back(number);
        std::sort(found.begin(), found.end());
        return found.empty() ? 0 : found[which % found.size()];
    }

    connection_number any_opening(unsigned which) const
    {
        return find_connection(
            which, [](const backend_connection& c)
            { return c.phase == connection_phase::opening; });
    }

    void start_any(const planned_step& it)
    {
        static const std::array<const char*, 3> databases{"newest", "bounded",
                                                          "own"};
        static const std::array<const char*, 3> keys{"", "k-1", "k-2"};
        const std::string key = keys[it.b % 3];
        const std::string name = databases[it.b / 3 % 3];
        start_for(1 + it.a % caller_count, key.empty() ? "open-" + name : name,
                  key);
    }

    void query_any(const planned_step& it, verb kind, std::string text = {},
                   std::string name = {}, bool writes = false)
    {
        const auto session = 1 + it.a % caller_count;
        const auto s = pooler_state.sessions.find(session);
        if (s == pooler_state.sessions.end())
            return start_any(it);
        if (s->second.backlog.size() < 2)
            query(session, kind, std::move(text), std::move(name), writes);
    }

    void answer_any(const planned_step& it, std::optional<failure_code> code)
    {
        const auto number =
            find_connection(it.a, [](const backend_connection& c)
                            { return !c.outstanding.empty(); });
        if (number == 0)
            return;
        const auto left =
            state_after(pooler_state, pooler_state.connections.at(number));
        if (code)
            return fail(number, *code, left);
        succeed(number, {1, 5 + it.b % 3}, left, "signed");
    }

    void run(const planned_step& it)
    {
        last_actions.clear();
        const auto which = known[it.a % known.size()].server;
        switch (it.what)
        {
            case step::start_caller:
                return start_any(it);
            case step::read:
                return query_any(it, verb::read, "READ 1");
            case step::write:
                return query_any(it, verb::write, "WRITE 1 x");
            case step::begin:
                return query_any(
                    it, it.b % 3 == 0 ? verb::begin_read : verb::begin);
            case step::commit:
                return query_any(it,
                                 it.b % 3 == 0 ? verb::rollback : verb::commit);
            case step::set_value:
                return query_any(it, verb::set, std::to_string(it.b % 3), "n");
            case step::prepare:
                return query_any(it, verb::prepare, "q", "p", it.b % 2 == 0);
            case step::execute:
                return query_any(it, verb::execute, "1", "p");
            case step::disconnect:
                return post(caller_disconnected{1 + it.a % caller_count});
            case step::connect_member:
                if (const auto n = any_opening(it.a))
                    post(member_connected{n, std::nullopt});
                return;
            case step::refuse_connection:
                if (const auto n = any_opening(it.a))
                    post(member_connection_lost{
                        n, failure{failure_code::too_many_connections, ""},
                        "refused"});
                return;
            case step::succeed:
                return answer_any(it, std::nullopt);
            case step::refuse_as_busy:
                return answer_any(it, failure_code::busy);
            case step::refuse_as_lagging:
                return answer_any(it, failure_code::lagging);
            case step::refuse_as_replica:
                return answer_any(it, failure_code::read_only);
            case step::fail_statement:
                return answer_any(it, failure_code::failed);
            case step::lose_connection:
                if (const auto n = find_connection(
                        it.a, [](const backend_connection&) { return true; }))
                    post(member_connection_lost{n, std::nullopt, "reset"});
                return;
            case step::wait:
                return wait(std::chrono::milliseconds(25 + it.a % 200));
            case step::wait_long:
                return wait(std::chrono::milliseconds(400 + it.a % 2000));
            default:
                return change(it, which);
        }
    }

    void change(const planned_step& it, const core::server_id& which)
    {
        const auto listed =
            std::find_if(members.begin(), members.end(),
                         [&](const auto& m) { return m.server == which; });
        switch (it.what)
        {
            case step::remove_member:
                if (listed != members.end())
                    members.erase(listed);
                return publish();
            case step::register_members:
                members = known;
                return publish();
            case step::leave_member:
                if (listed != members.end())
                    listed->leaving = !listed->leaving;
                return publish();
            case step::move_primary:
                return post(primary_confirmed{group, which, it.b % 2 == 0});
            case step::revoke:
                return post(primary_revoked{group, which});
            case step::confirm:
                return post(replica_answered{group, which, now, {1, 9}});
            case step::change_limit:
                return limit_connections(1 + it.b % 4);
            case step::change_ranks:
                return change_ranks(it.b);
            case step::change_shares:
                return post(group_shares_changed{
                    {{group, {1 + it.a % 3, it.b % 3 != 0, false}}}});
            default:
                return;
        }
    }

    void change_ranks(unsigned by)
    {
        auto c = pooler_state.active_configuration;
        c.version = ++version;
        for (auto& [name, r] : c.routes)
            r.importance = static_cast<core::rank>(by++ % core::rank_count);
        post(configuration_changed{c});
    }
};

}  // namespace

// Explores callers of workspaces and of none, ranks, reads and writes at the
// limit of connections, refusals, lost connections, and members that leave,
// are lost and come back.
BOOST_AUTO_TEST_CASE(of_callers_and_members)
{
    std::size_t dispatched = 0;
    const bool passed = rc::check(
        [&dispatched]
        {
            history all;
            for (const auto& it : *any_history())
            {
                all.apply(it);
                const auto lost = find_lost_slot(all.pooler_state);
                if (lost)
                    RC_FAIL(*lost);
            }
            dispatched += all.dispatched;
        });
    BOOST_TEST(passed);
    BOOST_TEST(dispatched > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
