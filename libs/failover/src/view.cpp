#include "detail.hpp"

namespace godwitbarrow::failover::detail
{
namespace
{

/// Whether a view of `term` makes the running attempt pointless.
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

void record_contact(step& at, member_state& member)
{
    const auto& status = *member.status;
    const bool lost = status.role == core::member_role::replica &&
                      status.term == at.state.view.term &&
                      !status.primary_contact;
    if (!lost)
        member.lost_contact_since.reset();
    else if (!member.lost_contact_since)
        member.lost_contact_since = at.now;
}

/// A member that was not told of the primary, or that missed it.
bool follows_wrongly(const group_state& state, const core::member_status& it)
{
    if (it.term < state.view.term)
        return true;
    return it.term == state.view.term && it.log_term < state.view.term &&
           it.role == core::member_role::replica && !it.primary_contact;
}

void correct_follower(step& at, const core::server_id& server,
                      const member_state& member)
{
    const auto& it = at.state;
    if (!it.coordinator || it.current_phase != phase::steady ||
        !it.view.primary || server == *it.view.primary)
        return;
    const auto told = member.told_to_follow_at;
    if (told && at.now < *told + it.limits.follow_retry)
        return;
    if (follows_wrongly(it, *member.status))
        tell_to_follow(at, server);
}

/// Compares the status with the running attempt. A promotion whose answer was
/// lost shows here, and so does a newer term.
void compare_with_attempt(step& at, const core::server_id& server,
                          const core::member_status& status)
{
    const auto& it = at.state;
    if (it.current_phase != phase::fencing &&
        it.current_phase != phase::promoting)
        return;
    if (status.term > it.attempt.term)
    {
        at.state.store.stale = true;
        abandon(at, "a member is in a newer term");
        return;
    }
    if (it.current_phase == phase::promoting && it.attempt.chosen == server &&
        status.term == it.attempt.term &&
        status.role == core::member_role::primary)
        finish_promotion(at);
}

}  // namespace

bool learn_view(step& at, core::term_number term,
                const core::server_id& primary)
{
    auto& it = at.state;
    const bool newer =
        term > it.view.term || (term == it.view.term && !it.view.primary);
    if (!newer)
        return false;
    if (supersedes(it, term))
        abandon(at, "another attempt promoted " + primary.value);
    it.view = {term, primary, at.now};
    it.reports.clear();
    it.next_round = at.now;
    for (auto& [server, member] : it.members)
    {
        member.lost_contact_since.reset();
        member.told_to_follow_at.reset();
    }
    return true;
}

void adopt_view(step& at, core::term_number term,
                const core::server_id& primary)
{
    if (learn_view(at, term, primary))
        at.out.push_back(publish_view{term, primary});
}

void record_status(step& at, const status_received& it)
{
    const auto found = at.state.members.find(it.server);
    if (found == at.state.members.end())
        return;
    auto& member = found->second;
    if (member.status && it.requested_at < member.requested_at)
        return;
    member.status = it.status;
    member.requested_at = it.requested_at;
    member.received_at = at.now;
    member.missed = false;
    member.poll_wait.reset();
    record_contact(at, member);
    compare_with_attempt(at, it.server, it.status);
    if (it.status.role == core::member_role::primary)
        adopt_view(at, it.status.term, it.server);
    correct_follower(at, it.server, member);
}

void tell_to_follow(step& at, const core::server_id& server)
{
    at.state.members[server].told_to_follow_at = at.now;
    at.out.push_back(
        follow_primary{server, at.state.view.term, *at.state.view.primary});
}

}  // namespace godwitbarrow::failover::detail
