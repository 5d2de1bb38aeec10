#pragma once

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/pooler/decide.hpp"

/// Fixture: one host and a group of one primary and two replicas.
namespace godwitbarrow::pooler::test
{

using namespace std::chrono_literals;

struct pooler_fixture
{
    state pooler_state;
    core::time_point now{1000s};
    actions last_actions;
    std::vector<registration> members;
    std::uint64_t registered = 0;
    core::group_id group{"quotes"};

    pooler_fixture()
    {
        pooler_state.settings.data_centre = {"north"};
        configure();
        add("primary", "north", core::member_role::primary);
        add("near", "north", core::member_role::replica);
        add("far", "south", core::member_role::replica);
        publish();
    }

    void configure(std::uint64_t version = 1, std::size_t connections = 8)
    {
        configuration c;
        c.version = version;
        c.groups[group].max_connections = connections;
        c.transaction_idle = 3s;
        route r;
        r.group = group;
        r.statement_timeout = 800ms;
        r.objective = 400ms;
        r.importance = core::rank::urgent;
        c.routes["newest"] = r;
        r.reads = read_policy::bounded_age;
        r.max_age = 1500ms;
        r.importance = core::rank::interactive;
        c.routes["bounded"] = r;
        r.reads = read_policy::own_writes;
        r.max_age = 2500ms;
        r.importance = core::rank::deferred;
        c.routes["own"] = r;
        post(configuration_changed{c});
    }

    void add(const std::string& id, const std::string& data_centre,
             core::member_role role)
    {
        registration r;
        r.server = {id};
        r.group = group;
        r.address = {"10.0.0.1", 5000};
        r.data_centre = {data_centre};
        r.slots = 2;
        r.role = role;
        r.version = ++registered;
        members.push_back(r);
    }

    registration& registration_of(const std::string& id)
    {
        for (auto& it : members)
            if (it.server.value == id)
                return it;
        BOOST_FAIL("no member " + id);
        return members.front();
    }

    /// Updates the registration of the member and publishes it.
    void report(const std::string& id, core::member_role role,
                bool leaving = false)
    {
        auto& r = registration_of(id);
        r.role = role;
        r.leaving = leaving;
        r.version = ++registered;
        publish();
    }

    void publish()
    {
        post(members_changed{members});
    }

    void post(const event& what)
    {
        last_actions = decide(pooler_state, what, now);
    }

    /// Advances the time in steps of one timer tick.
    void wait(core::duration time)
    {
        actions seen;
        for (const auto end = now + time; now < end;)
        {
            now += 25ms;
            post(timer_tick{});
            seen.insert(seen.end(), last_actions.begin(), last_actions.end());
        }
        last_actions = std::move(seen);
    }

    template <class Action>
    std::vector<Action> all_of() const
    {
        std::vector<Action> out;
        for (const auto& a : last_actions)
            if (const auto* it = std::get_if<Action>(&a))
                out.push_back(*it);
        return out;
    }

    template <class Action>
    std::optional<Action> first_of() const
    {
        const auto found = all_of<Action>();
        if (found.empty())
            return std::nullopt;
        return found.front();
    }

    void start(session_number session, const std::string& database)
    {
        post(caller_started{session, database});
        BOOST_REQUIRE(first_of<accept_caller>());
    }

    void query(session_number session, verb kind, std::string text = {},
               std::string name = {}, bool writes = false)
    {
        pooler::query q;
        q.id = {"q" + std::to_string(session)};
        q.stmt = {kind, std::move(name), writes, std::move(text)};
        post(caller_query{session, std::move(q)});
    }

    /// Returns the answer to the caller, if the last event completed its
    /// statement.
    std::optional<answer> reply(session_number session) const
    {
        for (const auto& it : all_of<reply_to_caller>())
            if (it.session == session)
                return it.reply;
        return std::nullopt;
    }

    std::string outcome(session_number session) const
    {
        const auto a = reply(session);
        if (!a)
            return "none";
        const auto* f = failure_of(*a);
        if (!f)
            return "success";
        switch (f->code)
        {
            case failure_code::busy:
                return "busy";
            case failure_code::aborted:
                return "aborted";
            case failure_code::in_doubt:
                return "in doubt";
            case failure_code::timed_out:
                return "timed out";
            case failure_code::malformed:
                return "malformed";
            case failure_code::too_large:
                return "too large";
            case failure_code::read_only:
                return "read only";
            default:
                return "other";
        }
    }

    /// Completes the connection attempt that the last event started.
    send_to_member connect()
    {
        const auto opened = first_of<open_connection>();
        BOOST_REQUIRE(opened);
        post(member_connected{opened->connection, std::nullopt});
        const auto sent = first_of<send_to_member>();
        BOOST_REQUIRE(sent);
        return *sent;
    }

    /// Adds an idle connection to each replica.
    void connect_replicas()
    {
        for (const auto* id : {"near", "far"})
        {
            auto& m = pooler_state.groups.at(group).members.at({id});
            const auto number = ++pooler_state.last_connection;
            backend_connection c;
            c.group = group;
            c.server = {id};
            c.phase_since = now;
            pooler_state.connections.emplace(number, c);
            m.connections.insert(number);
            post(member_connected{number, std::nullopt});
        }
    }

    /// Returns the statements sent by the last event; completes a connection
    /// attempt first if necessary.
    send_to_member sent()
    {
        if (const auto it = first_of<send_to_member>())
            return *it;
        return connect();
    }

    std::string server_of(connection_number connection) const
    {
        return pooler_state.connections.at(connection).server.value;
    }

    void succeed(connection_number connection, core::log_position at,
                 session_state left = session_state::idle,
                 const std::string& signature = {})
    {
        post(member_answered{connection, {{}, success{signature}, left, at}});
    }

    void fail(connection_number connection, failure_code code,
              session_state left = session_state::idle)
    {
        post(member_answered{connection,
                             {{}, failure{code, "member"}, left, {}}});
    }

    /// Starts a session with an open transaction that has written; returns its
    /// connection.
    connection_number open_transaction(session_number session,
                                       const std::string& database = "newest")
    {
        start(session, database);
        query(session, verb::begin);
        query(session, verb::write, "WRITE 1 x");
        const auto c = sent().connection;
        succeed(c, {1, 5}, session_state::in_transaction);
        succeed(c, {1, 5}, session_state::in_transaction, "signed");
        BOOST_REQUIRE_EQUAL(outcome(session), "success");
        return c;
    }

    /// Runs a read of the newest data, from which the host learns the log
    /// position of the primary.
    void read_newest(session_number session, core::log_position at)
    {
        query(session, verb::read, "READ 1");
        const auto c = sent().connection;
        succeed(c, at, session_state::in_transaction);
        succeed(c, at, session_state::in_transaction, "signed");
        BOOST_REQUIRE_EQUAL(outcome(session), "success");
        succeed(c, at);
    }
};

}  // namespace godwitbarrow::pooler::test
