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

/// Calls the handler for each claim that any host makes, until the process
/// ends. Claims that were made more than `max_age` before are left out.
void watch_claims(
    app& it, std::chrono::milliseconds max_age,
    std::function<void(const core::group_id& group, const takeover::claim& row)>
        handler);

}  // namespace godwitbarrow::proxy::pooled
