#include "godwitbarrow/session/freshness.hpp"

namespace godwitbarrow::session
{

void add_sample(primary_history& history, const primary_sample& it)
{
    auto& all = history.samples;
    if (!all.empty() && it.at.term > all.back().at.term)
        all.clear();
    if (!all.empty() &&
        (it.at.term < all.back().at.term || it.sent < all.back().sent))
        return;
    all.push_back(it);
    if (all.size() > max_primary_samples)
        all.pop_front();
}

std::optional<core::time_point> replica_fresh_as_of(
    const primary_history& history, const core::member_status& status,
    core::time_point requested_at, core::term_number current_term)
{
    if (status.term != current_term || status.log_term != current_term)
        return std::nullopt;
    const auto& all = history.samples;
    for (auto it = all.rbegin(); it != all.rend(); ++it)
        if (it->at.term == current_term && it->sent <= requested_at &&
            it->at.position <= status.position)
            return it->sent;
    return std::nullopt;
}

std::optional<core::time_point> primary_fresh_as_of(
    const primary_history& history, const core::member_status& other,
    core::time_point requested_at, core::term_number current_term)
{
    if (other.term != current_term)
        return std::nullopt;
    const auto& all = history.samples;
    for (auto it = all.rbegin(); it != all.rend(); ++it)
        if (it->at.term == current_term && it->sent <= requested_at)
            return it->sent;
    return std::nullopt;
}

std::optional<core::log_position> position_since(const primary_history& history,
                                                 core::time_point since)
{
    for (const auto& it : history.samples)
        if (it.sent >= since)
            return it.at;
    return std::nullopt;
}

bool within_age(const std::optional<core::time_point>& fresh_as_of,
                const std::optional<std::chrono::milliseconds>& max_age,
                core::time_point now)
{
    if (!max_age)
        return true;
    return fresh_as_of && now - *fresh_as_of <= *max_age;
}

}  // namespace godwitbarrow::session
