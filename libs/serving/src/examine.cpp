#include <algorithm>

#include "godwitbarrow/session/reached.hpp"
#include "internal.hpp"

namespace godwitbarrow::serving::detail
{
namespace
{

using core::error_kind;

/// A refused write may be accepted once a member answers again, which takes
/// about one status poll.
constexpr std::chrono::milliseconds quorum_retry_after{250};

verdict hold(const context& ctx, const tracked_request& it,
             std::chrono::milliseconds limit, core::error reason)
{
    const auto until = std::min(it.arrived + limit, it.request.deadline);
    // A write that may have run cannot be redirected; it waits on.
    const bool waits_on =
        it.possibly_ran && it.request.access != core::access_mode::read;
    if (ctx.now >= until && !waits_on)
        return {ruling::redirect, std::move(reason)};
    return {ruling::hold, std::move(reason),
            waits_on ? it.request.deadline : until};
}

verdict hold_for_view(const context& ctx, const tracked_request& it,
                      core::term_number at_least, core::error reason)
{
    auto v = hold(ctx, it, ctx.state.settings.view_hold, std::move(reason));
    v.refresh = at_least;
    return v;
}

core::error no_primary()
{
    return {error_kind::no_primary,
            "the group has no reachable primary at the moment; retry after "
            "the promotion"};
}

/// How long the replica has certainly been behind the primary.
core::duration known_lag(const context& ctx, const core::member_status& it)
{
    for (const auto& sample : ctx.state.history.samples)
        if (sample.at.position > it.position)
            return ctx.now - sample.sent;
    return {};
}

/// Waits for the member to catch up, unless it is known to be further behind
/// than the wait is long.
verdict hold_for_member(const context& ctx, const tracked_request& it,
                        const member_state& member, core::error reason)
{
    const auto& settings = ctx.state.settings;
    if (is_primary(ctx.state, it.server))
        return hold(ctx, it, settings.view_hold, std::move(reason));
    const bool hopeless =
        member.status && known_lag(ctx, *member.status) > settings.replica_hold;
    if (hopeless)
        return {ruling::redirect, std::move(reason)};
    return hold(ctx, it, settings.replica_hold, std::move(reason));
}

verdict examine_read(const context& ctx, const tracked_request& it,
                     const member_state& member)
{
    const auto& view = ctx.state.view;
    if (member.leaving)
        return {ruling::redirect,
                {error_kind::draining,
                 "server " + it.server.value + " is leaving; use another"}};
    if (member.known && !member.reachable)
        return hold_for_member(
            ctx, it, member,
            {error_kind::no_connection,
             "server " + it.server.value + " does not answer; use another"});
    const auto role = is_primary(ctx.state, it.server)
                          ? core::member_role::primary
                          : core::member_role::replica;
    if (!member.status ||
        !session::has_reached(it.request.token, *member.status, role,
                              view.term))
        return hold_for_member(
            ctx, it, member,
            {error_kind::stale_token,
             "server " + it.server.value +
                 " has not reached the token; use the primary or retry"});
    if (!session::within_age(member.fresh_as_of, it.request.max_age, ctx.now))
        return hold_for_member(
            ctx, it, member,
            {error_kind::too_stale,
             "the data of server " + it.server.value +
                 " may be older than max_age; use the primary, raise max_age "
                 "or retry"});
    return {};
}

verdict examine_quorum(const context& ctx, const tracked_request& it)
{
    if (reachable_members(ctx.state) < majority(ctx.state))
    {
        core::error reason{error_kind::no_quorum,
                           "too few members of the group are reachable to "
                           "confirm a write; retry when another answers"};
        const auto& members = ctx.state.members;
        const bool starting =
            std::any_of(members.begin(), members.end(),
                        [](const auto& m) { return !m.second.known; });
        if (starting || it.possibly_ran)
            return hold(ctx, it, ctx.state.settings.view_hold,
                        std::move(reason));
        return {ruling::refuse, std::move(reason), {}, {}, quorum_retry_after};
    }
    const auto delay = estimated_confirmation(ctx);
    if (ctx.now + delay > it.request.deadline)
        return {ruling::refuse,
                {error_kind::no_quorum,
                 "replicas lag so far that the write could not be confirmed "
                 "before the deadline; retry later or with a longer one"},
                {},
                {},
                to_milliseconds(delay)};
    return {};
}

verdict examine_write(const context& ctx, const tracked_request& it,
                      const member_state& member)
{
    const auto& view = ctx.state.view;
    if (!view.primary)
        return hold_for_view(ctx, it, view.term, no_primary());
    if (*view.primary != it.server)
        return {ruling::redirect,
                {error_kind::no_primary,
                 "server " + it.server.value +
                     " is not the primary; send the write to " +
                     view.primary->value}};
    if (member.leaving)
        return hold_for_view(ctx, it, view.term,
                             {error_kind::draining,
                              "the primary is leaving and its successor is "
                              "not known yet; retry"});
    if (auto v = examine_quorum(ctx, it); v.kind != ruling::eligible)
        return v;
    if (!member.reachable)
        return hold_for_view(ctx, it, view.term, no_primary());
    if (member.status && member.status->term > view.term)
        return hold_for_view(ctx, it, member.status->term, no_primary());
    return {};
}

}  // namespace

bool in_transaction(core::access_mode it)
{
    return it == core::access_mode::statement ||
           it == core::access_mode::commit || it == core::access_mode::rollback;
}

std::size_t reachable_members(const group_state& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.members.begin(), state.members.end(),
                      [](const auto& it) { return it.second.reachable; }));
}

std::size_t majority(const group_state& state)
{
    return state.members.size() / 2 + 1;
}

core::duration estimated_confirmation(const context& ctx)
{
    auto delay = ctx.state.confirmation_delay;
    if (!ctx.state.confirming.empty())
    {
        const auto& id = ctx.state.confirming.begin()->second;
        delay = std::max(delay, ctx.now - ctx.state.requests.at(id).replied_at);
    }
    return delay;
}

verdict examine(const context& ctx, const tracked_request& it)
{
    const auto& state = ctx.state;
    if (ctx.now >= it.request.deadline)
        return {ruling::refuse,
                {error_kind::deadline_exceeded,
                 "the deadline passed before the request could be sent; retry "
                 "with a longer deadline"}};
    if (in_transaction(it.request.access))
    {
        auto v = examine_transaction(ctx, it);
        if (v.kind == ruling::eligible &&
            it.request.access == core::access_mode::commit)
            return examine_quorum(ctx, it);
        return v;
    }
    if (it.request.transaction)
        return {ruling::refuse,
                {error_kind::malformed_request,
                 "a request inside a transaction has access 'statement', "
                 "'commit' or 'rollback'; change its access"}};
    const auto server = state.servers.find(it.server);
    const auto member = state.members.find(it.server);
    if (server == state.servers.end() || !server->second.owned ||
        member == state.members.end())
        return {ruling::redirect,
                {error_kind::owner_unreachable,
                 "this host does not own server " + it.server.value +
                     "; ask its owner"}};
    const auto needed = it.request.token ? it.request.token->term : 0;
    if (state.view.term == 0 || needed > state.view.term)
        return hold_for_view(ctx, it, std::max<core::term_number>(needed, 1),
                             no_primary());
    if (it.blocked_until && ctx.now < *it.blocked_until)
        return hold(ctx, it, state.settings.view_hold, no_primary());
    if (it.request.access == core::access_mode::read)
        return examine_read(ctx, it, member->second);
    return examine_write(ctx, it, member->second);
}

}  // namespace godwitbarrow::serving::detail
