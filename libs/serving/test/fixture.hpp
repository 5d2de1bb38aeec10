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

/// A group with the members a (primary), b and c, all owned by this host.
/// Connections open, and probes are answered, immediately.
struct group_fixture
{
    serving::group_state state;
    core::time_point now{1000s};
    std::vector<serving::send_statement> statements;
    std::map<std::string, core::outcome> answers;
    std::map<std::string, serving::redirect> redirects;
    std::set<serving::connection_number> closed_connections;
    unsigned refresh_count = 0;

    group_fixture()
    {
        serving::group_settings settings;
        settings.group = {"quotes"};
        settings.self = {"h1"};
        settings.servers = {{{"a"}, 2, 8}, {{"b"}, 2, 8}, {{"c"}, 2, 8}};
        state = serving::make_group_state(settings, 7);
        deliver(serving::view_changed{1, core::server_id{"a"}});
        deliver(serving::ownership_changed{{{"a"}, {"b"}, {"c"}}});
        status("a", {1, 1, 10, core::member_role::primary});
        status("b", {1, 1, 10});
        status("c", {1, 1, 10});
    }

    void deliver(const serving::event& event)
    {
        for (auto& action : serving::decide(state, event, now))
            std::visit([&](auto& typed_action) { record(typed_action); },
                       action);
    }

    void record(serving::send_statement& action)
    {
        statements.push_back(action);
    }
    void record(serving::answer& action)
    {
        BOOST_TEST(answers.emplace(action.id.value, action.result).second);
    }
    void record(serving::redirect& action)
    {
        redirects.emplace(action.id.value, action);
    }
    void record(serving::open_connection& action)
    {
        deliver(serving::connection_opened{action.server, action.connection});
    }
    void record(serving::probe_connection& action)
    {
        deliver(serving::connection_opened{action.server, action.connection});
    }
    void record(serving::close_connection& action)
    {
        closed_connections.insert(action.connection);
    }
    void record(serving::refresh_view& /*unused*/)
    {
        ++refresh_count;
    }
    void record(serving::report_suspicion& /*unused*/) {}

    void advance(core::duration duration)
    {
        now += duration;
        deliver(serving::tick{});
    }

    void status(const std::string& server, core::member_status reported)
    {
        deliver(serving::status_received{{server}, reported, now});
    }

    core::request make_request(const std::string& id,
                               core::access_mode access) const
    {
        core::request request;
        request.id = {id};
        request.group = {"quotes"};
        request.access = access;
        request.importance = core::rank::urgent;
        request.deadline = now + 5s;
        return request;
    }

    core::request write(const std::string& id,
                        const std::string& key = {}) const
    {
        auto request = make_request(id, core::access_mode::write);
        if (!key.empty())
            request.key = core::idempotency_key{key};
        return request;
    }

    core::request read(const std::string& id,
                       std::optional<core::log_position> token = {}) const
    {
        auto request = make_request(id, core::access_mode::read);
        request.token = token;
        return request;
    }

    core::request transaction_request(
        const std::string& id, core::access_mode access,
        const core::transaction_id& transaction) const
    {
        auto request = make_request(id, access);
        request.transaction = transaction;
        return request;
    }

    void arrive(const core::request& request, const std::string& server = "a")
    {
        deliver(serving::request_arrived{request, {server}});
    }

    serving::send_statement only_statement() const
    {
        BOOST_REQUIRE(statements.size() == 1U);
        return statements[0];
    }

    void reply(const serving::send_statement& to, core::log_position at)
    {
        reply_with_status(to, core::reply_status::executed, at);
    }

    void reply_with_status(const serving::send_statement& to,
                           core::reply_status status, core::log_position at)
    {
        core::backend_reply response;
        response.status = status;
        response.id = to.request.id;
        response.at = at;
        deliver(serving::reply_received{to.dispatch, response});
    }

    void fail(const serving::send_statement& sent, bool any_byte_sent)
    {
        deliver(
            serving::dispatch_failed{sent.dispatch, any_byte_sent, "reset"});
    }

    core::transaction_id begin(const std::string& id)
    {
        arrive(make_request(id, core::access_mode::begin));
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
