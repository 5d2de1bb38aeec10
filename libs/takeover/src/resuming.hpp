#pragma once

#include "context.hpp"

/// End of the pauses of replicas after a takeover, also after one whose holder
/// has failed.
namespace godwitbarrow::takeover::detail
{

/// Remembers a claim for which replicas may still be paused.
void note_pauses(context& ctx, const claim_observed& input);

/// Whether this host made such a claim, or it is so old that its holder must
/// have failed.
bool may_end_pauses(const context& ctx);

/// Makes the end of all pauses of the group a matter of this host, whoever has
/// asked for them.
void expect_all_paused(takeover_state& state);

/// Makes the end of the pauses of a holder that has failed a matter of this
/// host.
void adopt_pauses(context& ctx);

/// Lets the replicas that this host has paused receive from the primary again.
/// To be called only while no order can take effect that names another member.
void resume_replicas(context& ctx, const core::server_id& primary);

/// As `resume_replicas`, until all of them have confirmed that they receive.
/// Then the mark of the claim is cleared in its row, which has this version.
void end_pauses(context& ctx, const core::server_id& primary,
                std::uint64_t version);

/// Forgets a pause if the replica reports that it receives again.
void handle_resumed(context& ctx, const member_answered& input);

}  // namespace godwitbarrow::takeover::detail
