#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "godwitbarrow/serving/events.hpp"

/// A database group of three members in memory: logs, terms, transactions and
/// idempotency keys, without any time.
namespace godwitbarrow::test
{

constexpr std::size_t member_count = 3;

inline core::server_id server_name(std::size_t member)
{
    return {std::string(1, static_cast<char>('a' + member))};
}

inline std::size_t member_of(const core::server_id& server)
{
    return static_cast<std::size_t>(server.value[0] - 'a');
}

struct log_entry
{
    core::term_number term = 0;
    std::vector<std::string> operations;
    std::string key;

    bool operator==(const log_entry& other) const
    {
        return term == other.term && operations == other.operations;
    }
};

/// One TCP connection as the backend server sees it.
struct database_session
{
    std::optional<std::string> owner;
    std::vector<std::string> operations;
};

/// Host, run of its process and connection.
using session_key = std::tuple<std::size_t, unsigned, std::uint64_t>;

struct database_member
{
    core::term_number term = 1;
    /// Term in which it was promoted or told to follow.
    core::term_number active = 1;
    core::term_number log_term = 1;
    bool primary = false;
    /// The log may still have a tail that the primary does not have.
    bool tail_in_doubt = false;
    std::vector<log_entry> log;
    std::map<session_key, database_session> sessions;

    core::member_status status() const
    {
        return {
            term, log_term, log.size(),
            primary ? core::member_role::primary : core::member_role::replica,
            true};
    }
};

struct database_model
{
    std::array<database_member, member_count> members;
    core::term_number newest = 1;
    std::size_t primary = 0;
    core::log_number base = 0;
    std::map<std::string, int> executions;
    std::vector<std::string> violations;

    database_model()
    {
        members[0].primary = true;
    }
};

/// A statement is "SESSION:OPERATION".
inline std::string owner_of(const core::request& it)
{
    return it.statement.substr(0, it.statement.find(':'));
}

inline void append(database_model& model, database_member& it, log_entry entry)
{
    for (const auto& operation : entry.operations)
        ++model.executions[operation];
    entry.term = it.active;
    it.log.push_back(std::move(entry));
}

inline void expect_own_session(database_model& model,
                               const database_session& session,
                               const core::request& request, bool inside)
{
    if (inside && session.owner && *session.owner != owner_of(request))
        model.violations.push_back("P3: " + request.statement +
                                   " ran in a transaction of " +
                                   *session.owner);
    if (!inside && session.owner)
        model.violations.push_back("P3: " + request.statement +
                                   " ran on the connection of a transaction");
}

inline core::backend_reply execute_write(database_model& model,
                                         database_member& it,
                                         const core::request& request,
                                         core::backend_reply reply)
{
    const auto key = request.key ? request.key->value : std::string();
    const auto known = std::find_if(it.log.begin(), it.log.end(),
                                    [&](const log_entry& entry) {
                                        return !key.empty() && entry.key == key;
                                    });
    if (known != it.log.end())
    {
        const auto index = static_cast<std::size_t>(known - it.log.begin());
        reply.at = {known->term, index + 1};
        return reply;
    }
    append(model, it, {0, {request.statement}, key});
    reply.at = {it.log_term, it.log.size()};
    return reply;
}

inline core::backend_reply execute_in_transaction(database_model& model,
                                                  database_member& it,
                                                  database_session& session,
                                                  const core::request& request,
                                                  core::backend_reply reply)
{
    const bool internal = request.statement.empty();
    if (!internal)
        expect_own_session(model, session, request, true);
    if (!session.owner)
    {
        reply.status = core::reply_status::rejected;
        return reply;
    }
    if (request.access == core::access_mode::statement)
    {
        session.operations.push_back(request.statement);
        return reply;
    }
    if (request.access == core::access_mode::commit &&
        !session.operations.empty())
        append(model, it, {0, session.operations, {}});
    session = {};
    reply.at.position = it.log.size();
    return reply;
}

inline core::backend_reply execute(database_model& model, std::size_t member,
                                   const session_key& key,
                                   const serving::send_statement& sent)
{
    auto& it = model.members[member];
    const auto& request = sent.request;
    core::backend_reply reply;
    reply.id = request.id;
    reply.rows = {request.statement};
    reply.at = {it.log_term, it.log.size()};
    if (sent.term != it.term || it.active != it.term)
    {
        reply.status = core::reply_status::wrong_term;
        reply.at.term = it.term;
        return reply;
    }
    auto& session = it.sessions[key];
    if (request.access == core::access_mode::read)
    {
        expect_own_session(model, session, request, false);
        for (const auto& entry : it.log)
            for (const auto& operation : entry.operations)
                reply.rows.push_back(operation);
        return reply;
    }
    if (!it.primary)
    {
        reply.status = core::reply_status::not_primary;
        return reply;
    }
    if (request.access == core::access_mode::write)
    {
        expect_own_session(model, session, request, false);
        return execute_write(model, it, request, reply);
    }
    if (request.access == core::access_mode::begin)
    {
        expect_own_session(model, session, request, false);
        session = {owner_of(request), {}};
        return reply;
    }
    return execute_in_transaction(model, it, session, request, reply);
}

/// Cuts what the log of the primary does not have.
inline void cut_tail(database_member& it, const std::vector<log_entry>& leader)
{
    std::size_t common = 0;
    while (common < std::min(it.log.size(), leader.size()) &&
           it.log[common] == leader[common])
        ++common;
    it.log.resize(common);
    it.tail_in_doubt = false;
}

/// Copies up to `count` entries from the primary of the replica's term.
inline void replicate(database_model& model, std::size_t replica,
                      std::size_t count)
{
    auto& it = model.members[replica];
    if (it.primary || it.active != it.term)
        return;
    for (const auto& from : model.members)
    {
        if (!from.primary || from.active != it.active || from.term != it.term)
            continue;
        if (it.tail_in_doubt)
            cut_tail(it, from.log);
        while (count-- > 0 && it.log.size() < from.log.size())
            it.log.push_back(from.log[it.log.size()]);
        if (it.active == model.newest && it.log.size() >= model.base)
            it.log_term = it.active;
    }
}

/// Tells a member to follow the newest primary. Its divergent tail stays
/// until the two replicate.
inline void follow(database_model& model, std::size_t member)
{
    auto& it = model.members[member];
    if (member == model.primary || it.active == model.newest)
        return;
    it.term = model.newest;
    it.active = model.newest;
    it.primary = false;
    it.tail_in_doubt = true;
}

/// Fences all members but one and promotes the one that is furthest ahead.
inline void promote(database_model& model, std::size_t left_out)
{
    ++model.newest;
    std::optional<std::size_t> best;
    const auto rank_of = [&](std::size_t n)
    {
        const auto& it = model.members[n];
        return std::make_pair(it.log_term, it.log.size());
    };
    for (std::size_t n = 0; n < member_count; ++n)
    {
        if (n == left_out)
            continue;
        model.members[n].term = model.newest;
        model.members[n].primary = false;
        if (!best || rank_of(n) > rank_of(*best))
            best = n;
    }
    auto& it = model.members[*best];
    model.primary = *best;
    model.base = it.log.size();
    it.active = model.newest;
    it.log_term = model.newest;
    it.primary = true;
    it.tail_in_doubt = false;
}

}  // namespace godwitbarrow::test
