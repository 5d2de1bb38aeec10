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

eligibility hold_or_redirect(const context& ctx, const tracked_request& tracked,
                             std::chrono::milliseconds limit,
                             core::error reason)
{
    const auto until =
        std::min(tracked.arrived + limit, tracked.request.deadline);
    // A write that may have run cannot be redirected; it keeps waiting.
    const bool keeps_waiting =
        tracked.possibly_ran &&
        tracked.request.access != core::access_mode::read;
    if (ctx.now >= until && !keeps_waiting)
        return {disposition::redirect, std::move(reason)};
    return {disposition::hold, std::move(reason),
            keeps_waiting ? tracked.request.deadline : until};
}

eligibility hold_for_view(const context& ctx, const tracked_request& tracked,
                          core::term_number at_least, core::error reason)
{
    auto result = hold_or_redirect(
        ctx, tracked, ctx.state.settings.primary_wait_limit, std::move(reason));
    result.refresh = at_least;
    return result;
}

core::error no_primary_error()
{
    return {error_kind::no_primary,
            "the group has no reachable primary at the moment; retry after "
            "the promotion"};
}

/// Lower bound on how long the replica has been behind the primary.
core::duration minimum_lag(const context& ctx,
                           const core::member_status& status)
{
    for (const auto& sample : ctx.state.history.samples)
        if (sample.at.position > status.position)
            return ctx.now - sample.sent;
    return {};
}

/// Holds the request until the member has caught up, unless the member is known
/// to lag by more than the time limit of the wait.
eligibility hold_for_member(const context& ctx, const tracked_request& tracked,
                            const member_state& member, core::error reason)
{
    const auto& settings = ctx.state.settings;
    if (is_primary(ctx.state, tracked.server))
        return hold_or_redirect(ctx, tracked, settings.primary_wait_limit,
                                std::move(reason));
    const bool lag_exceeds_limit =
        member.status &&
        minimum_lag(ctx, *member.status) > settings.catch_up_limit;
    if (lag_exceeds_limit)
        return {disposition::redirect, std::move(reason)};
    return hold_or_redirect(ctx, tracked, settings.catch_up_limit,
                            std::move(reason));
}

eligibility check_read(const context& ctx, const tracked_request& tracked,
                       const member_state& member)
{
    const auto& view = ctx.state.view;
    if (member.leaving)
        return {disposition::redirect,
                {error_kind::draining, "server " + tracked.server.value +
                                           " is leaving; use another server"}};
    if (member.polled && !member.reachable)
        return hold_for_member(ctx, tracked, member,
                               {error_kind::no_connection,
                                "server " + tracked.server.value +
                                    " does not answer; use another server"});
    const auto role = is_primary(ctx.state, tracked.server)
                          ? core::member_role::primary
                          : core::member_role::replica;
    if (!member.status ||
        !session::has_reached(tracked.request.token, *member.status, role,
                              view.term))
        return hold_for_member(
            ctx, tracked, member,
            {error_kind::stale_token,
             "server " + tracked.server.value +
                 " has not reached the log position of the token; use the "
                 "primary or retry"});
    if (!session::within_age(member.fresh_as_of, tracked.request.max_age,
                             ctx.now))
        return hold_for_member(
            ctx, tracked, member,
            {error_kind::too_stale,
             "the data of server " + tracked.server.value +
                 " may be older than max_age; use the primary, raise max_age "
                 "or retry"});
    return {};
}

eligibility check_quorum(const context& ctx, const tracked_request& tracked)
{
    if (reachable_members(ctx.state) < majority(ctx.state))
    {
        core::error reason{error_kind::no_quorum,
                           "too few members of the group are reachable to "
                           "confirm a write; retry when another answers"};
        const auto& members = ctx.state.members;
        const bool starting =
            std::any_of(members.begin(), members.end(),
                        [](const auto& m) { return !m.second.polled; });
        if (starting || tracked.possibly_ran)
            return hold_or_redirect(ctx, tracked,
                                    ctx.state.settings.primary_wait_limit,
                                    std::move(reason));
        return {
            disposition::refuse, std::move(reason), {}, {}, quorum_retry_after};
    }
    const auto delay = estimated_confirmation(ctx);
    if (ctx.now + delay > tracked.request.deadline)
        return {disposition::refuse,
                {error_kind::no_quorum,
                 "replicas lag so far that the write could not be confirmed "
                 "before the deadline; retry later or with a longer "
                 "deadline"},
                {},
                {},
                to_milliseconds(delay)};
    return {};
}

eligibility check_write(const context& ctx, const tracked_request& tracked,
                        const member_state& member)
{
    const auto& view = ctx.state.view;
    if (!view.primary)
        return hold_for_view(ctx, tracked, view.term, no_primary_error());
    if (*view.primary != tracked.server)
        return {disposition::redirect,
                {error_kind::no_primary,
                 "server " + tracked.server.value +
                     " is not the primary; send the write to " +
                     view.primary->value}};
    if (member.leaving)
        return hold_for_view(ctx, tracked, view.term,
                             {error_kind::draining,
                              "the primary is leaving and its successor is "
                              "not known yet; retry"});
    if (auto result = check_quorum(ctx, tracked);
        result.kind != disposition::eligible)
        return result;
    if (!member.reachable)
        return hold_for_view(ctx, tracked, view.term, no_primary_error());
    if (member.status && member.status->term > view.term)
        return hold_for_view(ctx, tracked, member.status->term,
                             no_primary_error());
    return {};
}

}  // namespace

bool in_transaction(core::access_mode access)
{
    return access == core::access_mode::statement ||
           access == core::access_mode::commit ||
           access == core::access_mode::rollback;
}

std::size_t reachable_members(const group_state& state)
{
    return static_cast<std::size_t>(std::count_if(
        state.members.begin(), state.members.end(),
        [](const auto& entry) { return entry.second.reachable; }));
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

eligibility check_eligibility(const context& ctx,
                              const tracked_request& tracked)
{
    const auto& state = ctx.state;
    if (ctx.now >= tracked.request.deadline)
        return {disposition::refuse,
                {error_kind::deadline_exceeded,
                 "the deadline passed before the request could be sent; retry "
                 "with a longer deadline"}};
    if (in_transaction(tracked.request.access))
    {
        auto result = check_transaction(ctx, tracked);
        if (result.kind == disposition::eligible &&
            tracked.request.access == core::access_mode::commit)
            return check_quorum(ctx, tracked);
        return result;
    }
    if (tracked.request.transaction)
        return {disposition::refuse,
                {error_kind::malformed_request,
                 "a request inside a transaction has access 'statement', "
                 "'commit' or 'rollback'; change its access"}};
    const auto server = state.servers.find(tracked.server);
    const auto member = state.members.find(tracked.server);
    if (server == state.servers.end() || !server->second.owned ||
        member == state.members.end())
        return {disposition::redirect,
                {error_kind::owner_unreachable,
                 "this host does not own server " + tracked.server.value +
                     "; ask its owner"}};
    const auto required_term =
        tracked.request.token ? tracked.request.token->term : 0;
    if (state.view.term == 0 || required_term > state.view.term)
        return hold_for_view(ctx, tracked,
                             std::max<core::term_number>(required_term, 1),
                             no_primary_error());
    if (tracked.blocked_until && ctx.now < *tracked.blocked_until)
        return hold_or_redirect(ctx, tracked, state.settings.primary_wait_limit,
                                no_primary_error());
    if (tracked.request.access == core::access_mode::read)
        return check_read(ctx, tracked, member->second);
    return check_write(ctx, tracked, member->second);
}

}  // namespace godwitbarrow::serving::detail
