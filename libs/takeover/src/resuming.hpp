#pragma once

#include "context.hpp"

/// End of the pauses of replicas after a takeover, also after one whose holder
/// has failed.
namespace godwitbarrow::takeover::detail
{

/// Remembers a claim for which replicas may still be paused.
void note_pauses(context& ctx, const claim_observed& input);

/// Whether this host made such a claim, or it is so old that its holder must
/// have failed and no order of it can take effect any more.
bool may_end_pauses(const context& ctx);

/// Lets the replicas that this host has paused receive from the primary again,
/// unless an order may still take effect.
void resume_replicas(context& ctx, const core::server_id& primary);

/// As `resume_replicas`, and ends the pauses of a holder that has failed. The
/// mark of the claim is cleared once all replicas receive.
void end_pauses(context& ctx, const core::server_id& primary);

/// Forgets a pause if the replica reports that it receives again.
void handle_resumed(context& ctx, const member_answered& input);

}  // namespace godwitbarrow::takeover::detail
