#pragma once

#include <functional>

#include "app.hpp"

/// Rows of `takeover` in the platform's store: one claim for each group, and in
/// a table of its own one vote for each group and host. A change of a vote does
/// not wake the hosts that follow the claims.
namespace godwitbarrow::proxy::pooled
{

using takeover_handler = std::function<void(const takeover::event&)>;

/// Reads the claim and the votes of a group. The handler gets `rows_read`, or
/// `store_failed` if either read failed.
void read_takeover_rows(app& it, const std::shared_ptr<service_link>& on,
                        const core::group_id& group,
                        const takeover_handler& handler);

/// Writes a claim under the version that it expects.
void write_claim_row(app& it, const std::shared_ptr<service_link>& on,
                     const core::group_id& group,
                     const takeover::write_claim& what,
                     takeover_handler handler);

/// Writes the vote of this host.
void write_vote_row(app& it, const std::shared_ptr<service_link>& on,
                    const core::group_id& group,
                    const takeover::write_vote& what, takeover_handler handler);

/// Clears the mark of a claim that replicas are paused.
void write_cleared_row(app& it, const std::shared_ptr<service_link>& on,
                       const core::group_id& group,
                       const takeover::clear_pauses& what);

/// Calls the handler for the claim of each group, and for each that any host
/// makes, until the process ends.
void watch_claims(app& it, std::function<void(const core::group_id& group,
                                              takeover::claim_observed claim)>
                               handler);

}  // namespace godwitbarrow::proxy::pooled
