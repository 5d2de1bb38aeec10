#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "godwitbarrow/takeover/decide.hpp"

/// Fixture: the takeover of one group as a host decides it.
namespace godwitbarrow::takeover::test
{

using namespace std::chrono_literals;

/// One of four hosts, with its view of a group of three members.
struct host
{
    takeover_state state;
    takeover_settings settings;
    group_view view;
    core::time_point now{1000s};
    actions last_actions;
    std::chrono::milliseconds store_time{50000};
    std::uint64_t store_era = 0;
    /// Version of the row of the last claim, and the token of the next one.
    static constexpr std::uint64_t last_version = 9;
    static constexpr std::uint64_t next_claim_token = last_version + 1;
    /// Newest term of the group, which the members report.
    core::term_number newest_term = 3;
    /// Members that stopped receiving, and at which term.
    std::map<std::string, core::term_number> paused;
    /// The claim row as this host last wrote it.
    std::optional<claim> stored;
    std::uint64_t stored_version = last_version;

    host()
    {
        settings.self = {"host-1"};
        view.primary = core::server_id{"a"};
        view.candidates = {{"b"}, {"c"}};
        view.live_hosts = 4;
        view.newest_term = newest_term;
    }

    void handle(const event& input)
    {
        last_actions = decide(state, settings, input, now);
        for (const auto& a : last_actions)
        {
            if (const auto* it = std::get_if<ask_member>(&a))
                pause_if_asked(*it);
            if (const auto* it = std::get_if<write_claim>(&a))
                store(it->row);
            if (const auto* it = std::get_if<settle_claim>(&a))
                store(it->row);
            if (const auto* it = std::get_if<clear_pauses>(&a))
                store(it->row);
        }
    }

    void store(const claim& row)
    {
        stored = row;
        ++stored_version;
    }

    /// The rows as the store returns them now.
    rows_read stored_rows() const
    {
        auto rows = rows_with_votes(0);
        if (stored)
            rows.last_claim = stored;
        rows.version = stored_version;
        rows.store_time +=
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - core::time_point{1000s});
        return rows;
    }

    /// Has the platform keep a primary that was confirmed, up to the read of
    /// the rows after which replicas may receive again.
    void keep(const std::string& primary)
    {
        BOOST_REQUIRE(first_action<read_rows>());
        handle(stored_rows());
        BOOST_REQUIRE(first_action<write_claim>());
        handle(row_written{write_result::done, stored_version, store_era});
        BOOST_TEST(!first_action<order_promotion>().has_value());
        advance_clock(settings.revocation_delay);
        BOOST_REQUIRE(first_action<order_promotion>());
        BOOST_TEST(first_action<order_promotion>()->server.value == primary);
        BOOST_TEST(resumed().empty());
        handle(promotion_answered{order_result::accepted});
        BOOST_TEST(resumed().empty());
        advance_clock(settings.retry_delay);
        BOOST_REQUIRE(first_action<ask_member>());
        answer(primary, 9, core::member_role::primary);
    }

    void end_settled_pauses()
    {
        BOOST_REQUIRE(first_action<read_rows>());
        BOOST_TEST(resumed().empty());
        handle(stored_rows());
    }

    /// A member ignores a pause at a term that is not above the newest one.
    void pause_if_asked(const ask_member& query)
    {
        if (query.resume_replication)
            paused.erase(query.server.value);
        if (query.pause_replication_at.value_or(0) > newest_term)
            paused[query.server.value] = *query.pause_replication_at;
    }

    void observe(bool unreachable, bool leaving = false)
    {
        view.unreachable = unreachable;
        view.unreachable_for = unreachable ? 700ms : 0ms;
        view.leaving = leaving;
        handle(group_view_updated{view});
    }

    /// Terms of the pauses that the last event asked for.
    std::map<std::string, core::term_number> pauses() const
    {
        std::map<std::string, core::term_number> out;
        for (const auto& a : last_actions)
            if (const auto* it = std::get_if<ask_member>(&a))
                if (it->pause_replication_at)
                    out[it->server.value] = *it->pause_replication_at;
        return out;
    }

    /// Replicas that the last event let receive again.
    std::set<std::string> resumed() const
    {
        std::set<std::string> out;
        for (const auto& a : last_actions)
            if (const auto* it = std::get_if<ask_member>(&a))
                if (it->resume_replication)
                    out.insert(it->server.value);
        return out;
    }

    template <class Action>
    std::optional<Action> first_action() const
    {
        for (const auto& a : last_actions)
            if (const auto* it = std::get_if<Action>(&a))
                return *it;
        return std::nullopt;
    }

    void answer(const std::string& id, std::uint64_t received,
                core::member_role role = core::member_role::replica)
    {
        const auto paused_at = paused[id];
        handle(member_answered{{id},
                               member_report{role,
                                             std::max(newest_term, paused_at),
                                             {newest_term, received},
                                             paused_at}});
    }

    void no_answer(const std::string& id)
    {
        handle(member_answered{{id}, std::nullopt});
    }

    /// Rows with an expired claim and unexpired votes of other hosts, whose
    /// last answer from the primary is as old as that of this host.
    rows_read rows_with_votes(int others) const
    {
        rows_read rows;
        rows.last_claim = claim{4,     {"host-9"}, {"z"}, store_time - 60s,
                                false, store_era,  {"a"}};
        rows.era = store_era;
        rows.version = last_version;
        rows.store_time = store_time;
        for (int n = 0; n < others; ++n)
            rows.votes[{"host-" + std::to_string(n + 2)}] = {
                {"a"}, store_time - 700ms, store_time - 100ms};
        return rows;
    }

    /// Makes the primary unreachable and advances to the read of the rows.
    void confirm_unreachable()
    {
        observe(true);
        BOOST_REQUIRE(first_action<ask_member>());
        no_answer("a");
        BOOST_REQUIRE(first_action<read_rows>());
    }

    /// Claims the takeover of a primary that no host can reach.
    void claim_takeover()
    {
        confirm_unreachable();
        handle(rows_with_votes(3));
        BOOST_REQUIRE(first_action<write_claim>());
        handle(row_written{write_result::done, 10});
        await_revocation();
        if (view.synchronous_replicas > 0)
            no_answer("a");
    }

    /// Claims the takeover of a primary that is leaving and still answers.
    void claim_of_leaving(std::uint64_t primary_position)
    {
        observe(false, true);
        handle(rows_with_votes(0));
        handle(row_written{write_result::done, 10});
        await_revocation();
        if (view.synchronous_replicas > 0)
            answer("a", primary_position, core::member_role::primary);
    }

    /// Advances to the comparison of the log positions.
    void await_revocation()
    {
        if (view.synchronous_replicas > 0)
            advance_clock(settings.revocation_delay);
    }

    void advance_clock(core::duration duration)
    {
        now += duration;
        handle(time_passed{});
    }
};

}  // namespace godwitbarrow::takeover::test
