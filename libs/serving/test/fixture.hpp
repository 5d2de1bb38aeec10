#pragma once

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "godwitbarrow/serving/decide.hpp"

namespace godwitbarrow::test
{

using namespace std::chrono_literals;

/// A group with members a (primary), b and c, all owned by this host, whose
/// connections open and answer probes at once.
struct group
{
    serving::group_state state;
    core::time_point now{1000s};
    std::vector<serving::send_statement> statements;
    std::map<std::string, core::outcome> answers;
    std::map<std::string, serving::redirect> redirects;
    std::set<serving::connection_number> closed;
    unsigned refreshes = 0;

    group()
    {
        serving::group_settings it;
        it.group = {"quotes"};
        it.self = {"h1"};
        it.servers = {{{"a"}, 2, 8}, {{"b"}, 2, 8}, {{"c"}, 2, 8}};
        state = serving::make_group_state(it, 7);
        give(serving::view_changed{1, core::server_id{"a"}});
        give(serving::ownership_changed{{{"a"}, {"b"}, {"c"}}});
        status("a", {1, 1, 10, core::member_role::primary});
        status("b", {1, 1, 10});
        status("c", {1, 1, 10});
    }

    void give(const serving::event& event)
    {
        for (auto& it : serving::decide(state, event, now))
            std::visit([&](auto& known) { record(known); }, it);
    }

    void record(serving::send_statement& it)
    {
        statements.push_back(it);
    }
    void record(serving::answer& it)
    {
        BOOST_TEST(answers.emplace(it.id.value, it.result).second);
    }
    void record(serving::redirect& it)
    {
        redirects.emplace(it.id.value, it);
    }
    void record(serving::open_connection& it)
    {
        give(serving::connection_opened{it.server, it.connection});
    }
    void record(serving::probe_connection& it)
    {
        give(serving::connection_opened{it.server, it.connection});
    }
    void record(serving::close_connection& it)
    {
        closed.insert(it.connection);
    }
    void record(serving::refresh_view& /*unused*/)
    {
        ++refreshes;
    }
    void record(serving::report_suspicion& /*unused*/) {}

    void advance(core::duration step)
    {
        now += step;
        give(serving::tick{});
    }

    void status(const std::string& server, core::member_status it)
    {
        give(serving::status_received{{server}, it, now});
    }

    core::request make(const std::string& id, core::access_mode access) const
    {
        core::request it;
        it.id = {id};
        it.group = {"quotes"};
        it.access = access;
        it.importance = core::rank::urgent;
        it.deadline = now + 5s;
        return it;
    }

    core::request write(const std::string& id,
                        const std::string& key = {}) const
    {
        auto it = make(id, core::access_mode::write);
        if (!key.empty())
            it.key = core::idempotency_key{key};
        return it;
    }

    core::request read(const std::string& id,
                       std::optional<core::log_position> token = {}) const
    {
        auto it = make(id, core::access_mode::read);
        it.token = token;
        return it;
    }

    core::request inside(const std::string& id, core::access_mode access,
                         const core::transaction_id& transaction) const
    {
        auto it = make(id, access);
        it.transaction = transaction;
        return it;
    }

    void arrive(const core::request& it, const std::string& server = "a")
    {
        give(serving::request_arrived{it, {server}});
    }

    serving::send_statement sole_statement() const
    {
        BOOST_REQUIRE(statements.size() == 1U);
        return statements[0];
    }

    void reply(const serving::send_statement& to, core::log_position at)
    {
        refuse(to, core::reply_status::executed, at);
    }

    void refuse(const serving::send_statement& to, core::reply_status status,
                core::log_position at)
    {
        core::backend_reply it;
        it.status = status;
        it.id = to.request.id;
        it.at = at;
        give(serving::reply_received{to.dispatch, it});
    }

    void fail(const serving::send_statement& it, bool any_byte_sent)
    {
        give(serving::dispatch_failed{it.dispatch, any_byte_sent, "reset"});
    }

    core::transaction_id begin(const std::string& id)
    {
        arrive(make(id, core::access_mode::begin));
        reply(statements.back(), {1, 10});
        return completed(id).transaction.value();
    }

    core::completed completed(const std::string& id) const
    {
        return outcome<core::completed>(id);
    }

    std::optional<core::error_kind> not_run(const std::string& id) const
    {
        return outcome<core::not_run>(id).reason.kind;
    }

    std::optional<core::error_kind> unknown(const std::string& id) const
    {
        return outcome<core::outcome_unknown>(id).reason.kind;
    }

    core::server_id redirected(const std::string& id) const
    {
        BOOST_REQUIRE(redirects.count(id) == 1U);
        return redirects.at(id).primary.value();
    }

    template <class T>
    T outcome(const std::string& id) const
    {
        BOOST_REQUIRE(answers.count(id) == 1U);
        BOOST_REQUIRE(std::holds_alternative<T>(answers.at(id)));
        return std::get<T>(answers.at(id));
    }
};

}  // namespace godwitbarrow::test
