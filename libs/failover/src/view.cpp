#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

/// Whether a view of `term` makes the current attempt obsolete.
bool supersedes(const group_state& state, core::term_number term)
{
    switch (state.current_phase)
    {
        case phase::steady:
            return false;
        case phase::confirming:
            return true;
        case phase::claiming:
            if (state.store.call != store_call::claiming &&
                !state.attempt.in_doubt)
                return true;
            break;
        case phase::fencing:
        case phase::promoting:
            break;
    }
    return term >= state.attempt.term;
}

void record_contact(decision_context& context, member_state& member)
{
    const auto& status = *member.status;
    const bool lost = status.role == core::member_role::replica &&
                      status.term == context.state.view.term &&
                      !status.primary_contact;
    if (!lost)
        member.lost_contact_since.reset();
    else if (!member.lost_contact_since)
        member.lost_contact_since = context.now;
}

/// Whether the member was not told of the primary or did not receive the
/// request.
bool needs_redirect(const group_state& state, const core::member_status& status)
{
    if (status.term < state.view.term)
        return true;
    return status.term == state.view.term &&
           status.log_term < state.view.term &&
           status.role == core::member_role::replica && !status.primary_contact;
}

void redirect_follower(decision_context& context, const core::server_id& server,
                       const member_state& member)
{
    const auto& state = context.state;
    if (!state.coordinator || state.current_phase != phase::steady ||
        !state.view.primary || server == *state.view.primary)
        return;
    const auto told = member.follow_sent_at;
    if (told && context.now < *told + state.limits.follow_retry_interval)
        return;
    if (needs_redirect(state, *member.status))
        send_follow(context, server);
}

/// Compares the status with the current attempt. This detects a promotion whose
/// answer was lost, and a newer term.
void compare_with_attempt(decision_context& context,
                          const core::server_id& server,
                          const core::member_status& status)
{
    const auto& state = context.state;
    if (state.current_phase != phase::fencing &&
        state.current_phase != phase::promoting)
        return;
    if (status.term > state.attempt.term)
    {
        context.state.store.stale = true;
        abandon(context, "a member is in a newer term");
        return;
    }
    if (state.current_phase == phase::promoting &&
        state.attempt.chosen == server && status.term == state.attempt.term &&
        status.role == core::member_role::primary)
        finish_promotion(context);
}

}  // namespace

bool update_view(decision_context& context, core::term_number term,
                 const core::server_id& primary)
{
    auto& state = context.state;
    const bool newer = term > state.view.term ||
                       (term == state.view.term && !state.view.primary);
    if (!newer)
        return false;
    if (supersedes(state, term))
        abandon(context, "another attempt promoted " + primary.value);
    state.view = {term, primary, context.now};
    state.reports.clear();
    state.next_round = context.now;
    for (auto& [server, member] : state.members)
    {
        member.lost_contact_since.reset();
        member.follow_sent_at.reset();
    }
    return true;
}

void update_and_publish_view(decision_context& context, core::term_number term,
                             const core::server_id& primary)
{
    if (update_view(context, term, primary))
        context.out.push_back(publish_view{term, primary});
}

void record_status(decision_context& context, const status_received& update)
{
    const auto found = context.state.members.find(update.server);
    if (found == context.state.members.end())
        return;
    auto& member = found->second;
    if (member.status && update.requested_at < member.requested_at)
        return;
    member.status = update.status;
    member.requested_at = update.requested_at;
    member.received_at = context.now;
    member.last_poll_failed = false;
    member.poll_wait.reset();
    record_contact(context, member);
    compare_with_attempt(context, update.server, update.status);
    if (update.status.role == core::member_role::primary)
        update_and_publish_view(context, update.status.term, update.server);
    redirect_follower(context, update.server, member);
}

void send_follow(decision_context& context, const core::server_id& server)
{
    context.state.members[server].follow_sent_at = context.now;
    context.out.push_back(follow_primary{server, context.state.view.term,
                                         *context.state.view.primary});
}

}  // namespace godwitbarrow::failover::detail
