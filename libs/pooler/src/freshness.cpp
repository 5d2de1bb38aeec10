#include "freshness.hpp"

#include <algorithm>

namespace godwitbarrow::pooler::detail
{

/// Samples of the primary are kept this far apart, so that the bounded history
/// covers more than the greatest age that routes allow, about 2.5 s.
constexpr std::chrono::milliseconds sample_interval{60};

void note_primary(group& it, const core::server_id& server,
                  core::time_point sent,
                  const std::optional<core::log_position>& at)
{
    it.primary = server;
    if (const auto m = it.members.find(server); m != it.members.end())
        m->second.refuted.reset();
    if (!at)
        return;
    const auto& all = it.history.samples;
    const bool same_term = !all.empty() && all.back().at.term == at->term;
    if (same_term && sent - all.back().sent < sample_interval)
        return;
    session::add_sample(it.history, {sent, *at});
}

void refute_primary(group& it, member& m, core::time_point now)
{
    m.refuted = now;
    m.refuted_version = m.about.version;
    if (it.primary == m.about.server)
        it.primary.reset();
}

void adopt_reported_primary(group& it)
{
    const member* best = nullptr;
    for (const auto& [id, m] : it.members)
    {
        if (m.about.role != core::member_role::primary)
            continue;
        if (m.refuted && m.about.version <= m.refuted_version)
            continue;
        if (!best || m.about.version > best->about.version)
            best = &m;
    }
    if (best)
        it.primary = best->about.server;
}

std::optional<core::server_id> primary_candidate(
    const group& it, const pooler_settings& settings, core::time_point now)
{
    const auto usable = [&](const member& m)
    {
        return !m.leaving_since ||
               now - *m.leaving_since < settings.leaving_primary_limit;
    };
    if (it.primary)
        if (const auto m = it.members.find(*it.primary);
            m != it.members.end() && usable(m->second))
            return it.primary;
    const member* best = nullptr;
    for (const auto& [id, m] : it.members)
    {
        if (!usable(m) || it.primary == id)
            continue;
        if (m.refuted && now - *m.refuted < settings.refuted_back_off)
            continue;
        if (!best || (best->refuted && !m.refuted) ||
            (best->refuted && m.refuted && *m.refuted < *best->refuted))
            best = &m;
    }
    if (!best)
        return std::nullopt;
    return best->about.server;
}

std::optional<core::log_position> required_position(
    const group& it, const caller_session& s, const pooler_settings& settings)
{
    if (s.by.reads == read_policy::newest || !s.current)
        return std::nullopt;
    const bool in_transaction = s.in.phase != transaction_phase::none;
    const auto first_byte = in_transaction ? s.in.began : s.current->arrived;
    auto required = session::position_since(
        it.history, first_byte - s.by.max_age + settings.age_margin);
    if (!required || s.by.reads != read_policy::own_writes)
        return required;
    // A position of an older term is covered by one of a newer term, except
    // for commits that the promotion rolled back.
    const auto own = s.written.find(s.by.group);
    if (own == s.written.end())
        return required;
    return std::max(*required, own->second);
}

}  // namespace godwitbarrow::pooler::detail
