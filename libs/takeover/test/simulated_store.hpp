#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "godwitbarrow/takeover/decide.hpp"

/// Several hosts that replace the primary of one group again and again, through
/// a store that is restored from copies and carries out writes late.
namespace godwitbarrow::takeover::test
{

using namespace std::chrono_literals;

/// The claim row of the group, and what the platform says of the store.
struct store_content
{
    std::optional<claim> row;
    std::uint64_t row_version = 0;
    std::uint64_t newest_version = 0;
};

/// A write of the claim row that the store has not carried out yet.
struct pending_write
{
    std::size_t host = 0;
    claim row;
    std::uint64_t expected_version = 0;
};

struct sent_order
{
    core::host_id holder;
    core::server_id target;
    std::uint64_t token = 0;
};

struct simulated_hosts
{
    takeover_settings settings;
    std::vector<takeover_state> states;
    std::size_t synchronous_replicas = 0;
    store_content store;
    std::uint64_t era = 1;
    std::vector<store_content> copies{store_content{}};
    std::vector<pending_write> writes;
    /// Rows that were read and have not reached their host yet.
    std::vector<std::pair<std::size_t, rows_read>> reads;
    std::vector<sent_order> orders;
    std::chrono::milliseconds store_time{100000};
    core::time_point now{1000s};

    explicit simulated_hosts(std::size_t n) : states(n) {}

    core::host_id name(std::size_t n) const
    {
        return {"host-" + std::to_string(n)};
    }

    void handle(std::size_t n, const event& input)
    {
        auto own = settings;
        own.self = name(n);
        for (const auto& a : decide(states[n], own, input, now))
            perform(n, a);
    }

    void perform(std::size_t n, const action& what)
    {
        if (const auto* it = std::get_if<ask_member>(&what))
            answer(n, *it);
        if (std::holds_alternative<read_rows>(what))
            reads.emplace_back(n, read());
        if (const auto* it = std::get_if<write_claim>(&what))
            writes.push_back({n, it->row, it->expected_version});
        if (const auto* it = std::get_if<clear_pauses>(&what))
            writes.push_back({n, it->row, it->expected_version});
        if (std::holds_alternative<write_vote>(what))
            handle(n, row_written{write_result::done, 0, era});
        if (const auto* it = std::get_if<order_promotion>(&what))
            orders.push_back({name(n), it->server, it->token});
    }

    /// The primary answers nobody, and the replicas have received the same.
    void answer(std::size_t n, const ask_member& query)
    {
        if (query.server.value == "a")
            return handle(n, member_answered{query.server, std::nullopt});
        member_report report;
        report.received = {3, 7};
        report.newest_term = query.pause_replication_at.value_or(3);
        report.paused_at = query.pause_replication_at.value_or(0);
        handle(n, member_answered{query.server, report});
    }

    rows_read read() const
    {
        rows_read out;
        out.last_claim = store.row;
        out.version = store.row_version;
        out.store_time = store_time;
        out.era = era;
        return out;
    }

    /// The host sees that the primary is unreachable. It knows the era of the
    /// store from elsewhere, or not yet.
    void observe(std::size_t n, bool knows_era)
    {
        group_view view;
        view.primary = core::server_id{"a"};
        view.unreachable = true;
        view.unreachable_for = 10s;
        view.candidates = {{"b"}, {"c"}};
        view.newest_term = 3;
        view.synchronous_replicas = synchronous_replicas;
        view.store_era = knows_era ? era : 0;
        handle(n, group_view_updated{view});
    }

    void advance(std::chrono::milliseconds time)
    {
        now += time;
        store_time += time;
        for (std::size_t n = 0; n < states.size(); ++n)
            handle(n, time_passed{});
    }

    void deliver_read(std::size_t which)
    {
        if (reads.empty())
            return;
        const auto it =
            reads.begin() + static_cast<std::ptrdiff_t>(which % reads.size());
        const auto [n, rows] = *it;
        reads.erase(it);
        handle(n, rows);
    }

    /// Returns the result for the host. The condition holds by the version
    /// alone, also if the store was restored since the write was sent.
    row_written apply(const pending_write& what)
    {
        if (what.expected_version != store.row_version)
            return {write_result::conflict, 0, era};
        store.row = what.row;
        store.row_version = ++store.newest_version;
        return {write_result::done, store.row_version, era};
    }

    void apply_write(std::size_t which, bool answered)
    {
        if (writes.empty())
            return;
        const auto it =
            writes.begin() + static_cast<std::ptrdiff_t>(which % writes.size());
        const auto what = *it;
        writes.erase(it);
        const auto result = apply(what);
        handle(what.host, answered ? result : row_written{});
    }

    /// The host gives the write up, and the store carries it out later.
    void give_up_write(std::size_t which)
    {
        if (!writes.empty())
            handle(writes[which % writes.size()].host, row_written{});
    }

    void serve_reads(std::size_t n)
    {
        for (std::size_t it = 0; it < reads.size();)
            if (reads[it].first == n)
                deliver_read(it);
            else
                ++it;
    }

    /// Answers the calls of one host to the store.
    void serve(std::size_t n)
    {
        serve_reads(n);
        for (std::size_t it = 0; it < writes.size();)
            if (writes[it].host == n)
                apply_write(it, true);
            else
                ++it;
    }

    void answer_order(std::size_t n, order_result result)
    {
        handle(n, promotion_answered{result});
    }

    void make_copy()
    {
        copies.push_back(store);
    }

    void restore_copy(std::size_t which)
    {
        store = copies[which % copies.size()];
        ++era;
    }

    void restart_host(std::size_t n)
    {
        states[n] = {};
    }

    /// Returns a token that two hosts have used in orders.
    std::optional<std::uint64_t> find_shared_token() const
    {
        std::map<std::uint64_t, core::host_id> holders;
        for (const auto& it : orders)
            if (const auto found = holders.emplace(it.token, it.holder).first;
                found->second != it.holder)
                return it.token;
        return std::nullopt;
    }
};

}  // namespace godwitbarrow::takeover::test
