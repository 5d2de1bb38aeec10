#include "slots.hpp"

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

BOOST_AUTO_TEST_SUITE_END()
