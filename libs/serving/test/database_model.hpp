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

/// In-memory model of a database group with three members: logs, terms,
/// transactions and idempotency keys. The model has no notion of time.
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

/// State that the backend server keeps for one TCP connection.
struct database_session
{
    std::optional<std::string> owner;
    std::vector<std::string> operations;
};

/// Host, incarnation of its process, and connection.
using session_key = std::tuple<std::size_t, unsigned, std::uint64_t>;

struct database_member
{
    core::term_number term = 1;
    /// Term in which the member was last promoted or told to follow.
    core::term_number active_term = 1;
    core::term_number log_term = 1;
    bool primary = false;
    /// The log may still end with entries that the primary does not have.
    bool tail_unverified = false;
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
    core::term_number newest_term = 1;
    std::size_t primary = 0;
    core::log_number base_position = 0;
    std::map<std::string, int> executions;
    std::vector<std::string> violations;

    database_model()
    {
        members[0].primary = true;
    }
};

/// Session of a statement, which has the form "SESSION:OPERATION".
inline std::string owner_of(const core::request& request)
{
    return request.statement.substr(0, request.statement.find(':'));
}

inline void append(database_model& model, database_member& target,
                   log_entry entry)
{
    for (const auto& operation : entry.operations)
        ++model.executions[operation];
    entry.term = target.active_term;
    target.log.push_back(std::move(entry));
}

inline void check_session_isolation(database_model& model,
                                    const database_session& session,
                                    const core::request& request,
                                    bool in_transaction)
{
    if (in_transaction && session.owner && *session.owner != owner_of(request))
        model.violations.push_back("P3: " + request.statement +
                                   " ran in a transaction of " +
                                   *session.owner);
    if (!in_transaction && session.owner)
        model.violations.push_back("P3: " + request.statement +
                                   " ran on the connection of a transaction");
}

inline core::backend_reply execute_write(database_model& model,
                                         database_member& target,
                                         const core::request& request,
                                         core::backend_reply reply)
{
    const auto key = request.key ? request.key->value : std::string();
    const auto previous =
        std::find_if(target.log.begin(), target.log.end(),
                     [&](const log_entry& entry)
                     { return !key.empty() && entry.key == key; });
    if (previous != target.log.end())
    {
        const auto index =
            static_cast<std::size_t>(previous - target.log.begin());
        reply.at = {previous->term, index + 1};
        return reply;
    }
    append(model, target, {0, {request.statement}, key});
    reply.at = {target.log_term, target.log.size()};
    return reply;
}

inline core::backend_reply execute_in_transaction(database_model& model,
                                                  database_member& target,
                                                  database_session& session,
                                                  const core::request& request,
                                                  core::backend_reply reply)
{
    const bool internal = request.statement.empty();
    if (!internal)
        check_session_isolation(model, session, request, true);
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
        append(model, target, {0, session.operations, {}});
    session = {};
    reply.at.position = target.log.size();
    return reply;
}

inline core::backend_reply execute(database_model& model, std::size_t member,
                                   const session_key& key,
                                   const serving::send_statement& sent)
{
    auto& target = model.members[member];
    const auto& request = sent.request;
    core::backend_reply reply;
    reply.id = request.id;
    reply.rows = {request.statement};
    reply.at = {target.log_term, target.log.size()};
    if (sent.term != target.term || target.active_term != target.term)
    {
        reply.status = core::reply_status::wrong_term;
        reply.at.term = target.term;
        return reply;
    }
    auto& session = target.sessions[key];
    if (request.access == core::access_mode::read)
    {
        check_session_isolation(model, session, request, false);
        for (const auto& entry : target.log)
            for (const auto& operation : entry.operations)
                reply.rows.push_back(operation);
        return reply;
    }
    if (!target.primary)
    {
        reply.status = core::reply_status::not_primary;
        return reply;
    }
    if (request.access == core::access_mode::write)
    {
        check_session_isolation(model, session, request, false);
        return execute_write(model, target, request, reply);
    }
    if (request.access == core::access_mode::begin)
    {
        check_session_isolation(model, session, request, false);
        session = {owner_of(request), {}};
        return reply;
    }
    return execute_in_transaction(model, target, session, request, reply);
}

/// Removes the entries that the log of the primary does not have.
inline void truncate_divergent_tail(database_member& target,
                                    const std::vector<log_entry>& primary_log)
{
    std::size_t common = 0;
    while (common < std::min(target.log.size(), primary_log.size()) &&
           target.log[common] == primary_log[common])
        ++common;
    target.log.resize(common);
    target.tail_unverified = false;
}

/// Copies up to `count` log entries from the primary of the replica's term.
inline void replicate(database_model& model, std::size_t replica,
                      std::size_t count)
{
    auto& target = model.members[replica];
    if (target.primary || target.active_term != target.term)
        return;
    for (const auto& source : model.members)
    {
        if (!source.primary || source.active_term != target.active_term ||
            source.term != target.term)
            continue;
        if (target.tail_unverified)
            truncate_divergent_tail(target, source.log);
        while (count-- > 0 && target.log.size() < source.log.size())
            target.log.push_back(source.log[target.log.size()]);
        if (target.active_term == model.newest_term &&
            target.log.size() >= model.base_position)
            target.log_term = target.active_term;
    }
}

/// Tells a member to follow the newest primary. A divergent tail of its log
/// remains until it next replicates from that primary.
inline void follow(database_model& model, std::size_t member)
{
    auto& target = model.members[member];
    if (member == model.primary || target.active_term == model.newest_term)
        return;
    target.term = model.newest_term;
    target.active_term = model.newest_term;
    target.primary = false;
    target.tail_unverified = true;
}

/// Fences all members except `excluded` and promotes the one whose log is
/// furthest ahead.
inline void promote(database_model& model, std::size_t excluded)
{
    ++model.newest_term;
    std::optional<std::size_t> best;
    const auto log_end = [&](std::size_t n)
    {
        const auto& candidate = model.members[n];
        return std::make_pair(candidate.log_term, candidate.log.size());
    };
    for (std::size_t n = 0; n < member_count; ++n)
    {
        if (n == excluded)
            continue;
        model.members[n].term = model.newest_term;
        model.members[n].primary = false;
        if (!best || log_end(n) > log_end(*best))
            best = n;
    }
    auto& target = model.members[*best];
    model.primary = *best;
    model.base_position = target.log.size();
    target.active_term = model.newest_term;
    target.log_term = model.newest_term;
    target.primary = true;
    target.tail_unverified = false;
}

}  // namespace godwitbarrow::test
