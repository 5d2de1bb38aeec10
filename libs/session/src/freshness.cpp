#include "godwitbarrow/session/freshness.hpp"

namespace godwitbarrow::session
{

void add_sample(primary_history& history, const primary_sample& sample)
{
    auto& samples = history.samples;
    if (!samples.empty() && sample.at.term > samples.back().at.term)
        samples.clear();
    if (!samples.empty() && (sample.at.term < samples.back().at.term ||
                             sample.sent < samples.back().sent))
        return;
    samples.push_back(sample);
    if (samples.size() > max_primary_samples)
        samples.pop_front();
}

std::optional<core::time_point> replica_fresh_as_of(
    const primary_history& history, const core::member_status& status,
    core::time_point requested_at, core::term_number current_term)
{
    if (status.term != current_term || status.log_term != current_term)
        return std::nullopt;
    const auto& samples = history.samples;
    for (auto it = samples.rbegin(); it != samples.rend(); ++it)
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
    const auto& samples = history.samples;
    for (auto it = samples.rbegin(); it != samples.rend(); ++it)
        if (it->at.term == current_term && it->sent <= requested_at)
            return it->sent;
    return std::nullopt;
}

std::optional<core::log_position> position_since(const primary_history& history,
                                                 core::time_point since)
{
    for (const auto& sample : history.samples)
        if (sample.sent >= since)
            return sample.at;
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
