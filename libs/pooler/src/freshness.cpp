#include "freshness.hpp"

#include <algorithm>

namespace godwitbarrow::pooler::detail
{

/// Minimum interval between position samples of the primary. It makes the
/// bounded history cover more than the greatest age that routes allow, about
/// 2.5 s.
constexpr std::chrono::milliseconds sample_interval{60};

namespace
{

void set_primary(group& it, const core::server_id& server)
{
    it.primary = server;
    it.no_primary_since.reset();
    if (it.revoked && it.revoked->server == server)
        it.revoked.reset();
    else if (it.revoked)
        it.revoked->replaced = true;
    for (auto& [id, m] : it.members)
    {
        if (id == server)
        {
            m.denied_at.reset();
            m.denied_version = {};
            continue;
        }
        // Roles that the other members registered earlier are outdated.
        m.denied_version = std::max(m.denied_version, version_of(m.record));
    }
}

}  // namespace

void record_primary_position(group& it, const core::server_id& server,
                             core::time_point sent,
                             const std::optional<core::log_position>& at)
{
    if (it.primary != server)
        set_primary(it, server);
    if (!at)
        return;
    const auto& all = it.history.samples;
    const bool same_term = !all.empty() && all.back().at.term == at->term;
    if (same_term && sent - all.back().sent < sample_interval)
        return;
    session::add_sample(it.history, {sent, *at});
}

void record_primary_denial(group& it, member& m, core::time_point now)
{
    m.denied_at = now;
    m.denied_version = version_of(m.record);
    if (it.primary != m.record.server)
        return;
    it.primary.reset();
    it.no_primary_since = now;
}

void revoke_primary(group& it, const core::server_id& server,
                    const pooler_settings& settings, core::time_point now)
{
    if (is_revoked(it, server, settings, now))
    {
        it.revoked->renewed_at = now;
        return;
    }
    const auto m = it.members.find(server);
    const auto version =
        m == it.members.end() ? record_version{} : version_of(m->second.record);
    it.revoked = revocation{server, now, now, version, false};
}

namespace
{

/// Whether the last claim does not allow the member as the primary.
bool is_excluded(const group& it, const core::server_id& server)
{
    return it.settled && !it.settled->unrestricted &&
           it.settled->server != server;
}

}  // namespace

bool is_revoked(const group& it, const core::server_id& server,
                const pooler_settings& settings, core::time_point now)
{
    if (is_excluded(it, server))
        return true;
    if (!it.revoked || it.revoked->server != server)
        return false;
    return it.revoked->replaced ||
           now - it.revoked->renewed_at < settings.revocation_limit;
}

std::optional<core::time_point> revoked_since(const group& it,
                                              const core::server_id& server,
                                              const pooler_settings& settings,
                                              core::time_point now)
{
    if (!is_revoked(it, server, settings, now))
        return std::nullopt;
    const bool excluded = is_excluded(it, server);
    const bool named = it.revoked && it.revoked->server == server;
    if (named && it.revoked->replaced)
        return core::time_point{};
    if (excluded && named)
        return std::min(it.settled->since, it.revoked->since);
    return excluded ? it.settled->since : it.revoked->since;
}

void settle_primary(group& it, settlement to)
{
    auto& known = it.settled;
    const bool same = known && known->token == to.token &&
                      known->server == to.server &&
                      known->unrestricted == to.unrestricted;
    if (same || (known && to.token < known->token))
        return;
    // A newer claim does not restart the time in which commits count.
    if (known && !known->server && !known->unrestricted)
        to.since = known->since;
    known = std::move(to);
    const auto& server = known->server;
    if (!server)
        return;
    if (it.revoked && it.revoked->server == *server)
        it.revoked.reset();
    if (it.members.count(*server) > 0)
        set_primary(it, *server);
}

namespace
{

/// Ends the revocation of a member that has become a replica. A missing
/// registration shows nothing: it may have expired while the store was away.
void end_revocation(group& it)
{
    if (!it.revoked)
        return;
    const auto m = it.members.find(it.revoked->server);
    if (m != it.members.end() &&
        m->second.record.role == core::member_role::replica &&
        it.revoked->version < version_of(m->second.record))
        it.revoked.reset();
}

}  // namespace

void adopt_reported_primary(group& it, const pooler_settings& settings,
                            core::time_point now)
{
    end_revocation(it);
    const member* best = nullptr;
    for (const auto& [id, m] : it.members)
    {
        if (m.record.role != core::member_role::primary ||
            is_revoked(it, id, settings, now))
            continue;
        if (!(m.denied_version < version_of(m.record)))
            continue;
        if (!best || version_of(best->record) < version_of(m.record))
            best = &m;
    }
    if (best)
        it.primary = best->record.server;
    if (best && it.revoked && it.revoked->server != best->record.server)
        it.revoked->replaced = true;
    if (it.primary)
        it.no_primary_since.reset();
    else if (!it.no_primary_since)
        it.no_primary_since = now;
}

void apply_takeover_result(group& it, const core::server_id& server,
                           bool promoted, core::time_point now)
{
    const auto m = it.members.find(server);
    if (m == it.members.end())
        return;
    m->second.answered_at = now;
    m->second.failed_at.reset();
    if (promoted || !it.primary)
        set_primary(it, server);
}

namespace
{

bool is_eligible_primary(const group& g, const member& m,
                         const pooler_settings& settings, core::time_point now)
{
    if (is_revoked(g, m.record.server, settings, now))
        return false;
    if (m.leaving_since &&
        now - *m.leaving_since >= settings.leaving_primary_limit)
        return false;
    if (m.failed_at && now - *m.failed_at < settings.failed_back_off)
        return false;
    return !m.denied_at || now - *m.denied_at >= settings.not_primary_back_off;
}

}  // namespace

std::optional<core::server_id> primary_candidate(
    const group& it, const pooler_settings& settings, core::time_point now)
{
    if (it.primary)
        if (const auto m = it.members.find(*it.primary);
            m != it.members.end() &&
            is_eligible_primary(it, m->second, settings, now))
            return it.primary;
    // Prefers the member that denied being the primary the longest time ago,
    // since it may have been promoted in the meantime.
    const member* best = nullptr;
    for (const auto& [id, m] : it.members)
    {
        if (!is_eligible_primary(it, m, settings, now))
            continue;
        if (!best || (best->denied_at && !m.denied_at) ||
            (best->denied_at && m.denied_at && *m.denied_at < *best->denied_at))
            best = &m;
    }
    if (!best)
        return std::nullopt;
    return best->record.server;
}

std::optional<core::log_position> required_position(
    const group& it, const caller_session& s, const pooler_settings& settings)
{
    if (s.active_route.reads == read_policy::newest || !s.current)
        return std::nullopt;
    const bool in_transaction = s.tx.phase != transaction_phase::none;
    const auto first_byte = in_transaction ? s.tx.began : s.current->arrived;
    auto required = session::position_since(
        it.history, first_byte - s.active_route.max_age + settings.age_margin);
    if (!required || s.active_route.reads != read_policy::own_writes)
        return required;
    // A position of an older term is covered by one of a newer term, except
    // for commits that the promotion rolled back.
    const auto own = s.written.find(s.active_route.group);
    if (own == s.written.end())
        return required;
    return std::max(*required, own->second);
}

}  // namespace godwitbarrow::pooler::detail
