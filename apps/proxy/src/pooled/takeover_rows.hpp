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

/// Writes a change of a claim that was made before under the version that it
/// expects. The result is of no use.
void write_changed_row(app& it, const std::shared_ptr<service_link>& on,
                       const core::group_id& group, const takeover::claim& row,
                       std::uint64_t expected_version);

struct claim_handlers
{
    std::function<void(const core::group_id& group,
                       const takeover::claim_observed& claim)>
        claim;
    /// All claims that were made before the read began have been passed on.
    std::function<void(pooler::claims_read what)> read;
};

/// Passes on the claim of each group, and each that any host makes, until the
/// process ends.
void watch_claims(app& it, claim_handlers on);

/// Passes on the claim of each group once. `done` is called in any case.
void read_claims(app& it, const std::shared_ptr<service_link>& from,
                 claim_handlers on, std::function<void()> done);

}  // namespace godwitbarrow::proxy::pooled
