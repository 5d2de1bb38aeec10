#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <tuple>

namespace godwitbarrow::core
{

using term_number = std::uint64_t;
using log_number = std::uint64_t;

/// A place in the log of a group. Ordered by term, then by position.
struct log_position
{
    term_number term = 0;
    log_number position = 0;

    friend bool operator==(const log_position& a, const log_position& b)
    {
        return a.term == b.term && a.position == b.position;
    }
    friend bool operator!=(const log_position& a, const log_position& b)
    {
        return !(a == b);
    }
    friend bool operator<(const log_position& a, const log_position& b)
    {
        return std::tie(a.term, a.position) < std::tie(b.term, b.position);
    }
    friend std::ostream& operator<<(std::ostream& os, const log_position& it)
    {
        return os << it.term << ':' << it.position;
    }
};

/// Returns TERM.POSITION.
inline std::string to_string(const log_position& it)
{
    return std::to_string(it.term) + '.' + std::to_string(it.position);
}

enum class member_role
{
    replica,
    primary
};

/// What a backend server reports of itself.
struct member_status
{
    /// Highest term that the member has accepted, by fencing or promotion.
    term_number term = 0;
    /// Term of the primary whose log the member holds up to at least the base
    /// position of that term.
    term_number log_term = 0;
    log_number position = 0;
    member_role role = member_role::replica;
    /// Whether the replica heard from its primary within its contact timeout.
    bool primary_contact = false;
};

}  // namespace godwitbarrow::core
