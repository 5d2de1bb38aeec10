#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/position.hpp"

/// Terms and replication of one member of a database group, without I/O.
///
/// A primary appends entries in its term; replicas pull them. Entries with the
/// same term and position are the same entry, because a term has one primary.
/// The log of a member is at any time a prefix of the log of the primary of
/// its `log_term`.
/// A member keeps its state for as long as it may take part in a majority; it
/// must not come back empty under the same name.
namespace godwitbarrow::standins
{

/// A replica reports no contact after this time without an answer of its
/// primary.
constexpr std::chrono::milliseconds contact_timeout{1500};
/// Entries in one answer to a pull, except when the replica joins the term:
/// then the answer holds the whole base log or nothing.
constexpr std::size_t largest_pull = 500;

/// One change of the log, with the result and key stored in the same entry.
struct log_entry
{
    core::term_number term = 0;
    /// Write statements, several for a transaction.
    std::vector<std::string> changes;
    /// Idempotency key, or empty.
    std::string key;
    std::vector<std::string> rows;
    /// When this member got the entry; used for the replication delay.
    core::time_point held_since;
};

/// Consecutive entries of one term, up to position `last`.
struct log_span
{
    core::term_number term = 0;
    core::log_number last = 0;

    friend bool operator==(const log_span& a, const log_span& b)
    {
        return a.term == b.term && a.last == b.last;
    }
};

struct member_state
{
    std::string name;
    core::term_number term = 0;
    core::term_number log_term = 0;
    core::member_role role = core::member_role::replica;
    /// Attempt id of the accepted fence of `term`; empty if it was not fenced.
    std::string attempt;
    /// Primary of `term`; empty while it is not known here.
    std::string primary;
    /// Log position at which this member was promoted in `term`.
    core::log_number base = 0;
    /// The entry at position n has index n - 1.
    std::vector<log_entry> log;
    /// Summary of `log`.
    std::vector<log_span> spans;
    /// When the primary was last heard from.
    core::time_point heard_at;
    /// Contents that follow from the log.
    std::map<std::string, std::string> data;
    std::map<std::string, core::log_number> positions_of_keys;
};

/// Sent by a replica to its primary.
struct pull_request
{
    core::term_number term = 0;
    core::term_number log_term = 0;
    std::vector<log_span> spans;
    /// Entries that the primary has held for less are left out.
    std::chrono::milliseconds lag{0};
};

struct pull_reply
{
    /// False if the sender is not the primary of the term of the request.
    bool accepted = false;
    core::term_number term = 0;
    core::log_number base = 0;
    /// Length of the common prefix of both logs; `entries` follow it.
    core::log_number common = 0;
    std::vector<log_entry> entries;
};

/// State of a member of a new group, in which nothing was written yet.
member_state initial_state(std::string name, core::term_number term,
                           core::member_role role, core::time_point now);

core::member_status status_of(const member_state& it, core::time_point now);

/// Accepts a higher term, or the same attempt of the present one. The member
/// then stops to serve and to replicate lower terms. False if refused.
bool fence(member_state& it, core::term_number term,
           const std::string& attempt);

/// Makes a member that was fenced by this attempt the primary of the term.
/// Returns the base position, also when repeated; empty if refused.
std::optional<core::log_number> promote(member_state& it,
                                        core::term_number term,
                                        const std::string& attempt);

/// Makes the member a replica of `primary`. False if refused.
bool follow(member_state& it, core::term_number term,
            const std::string& primary, core::time_point now);

/// A primary that learns of a higher term stops to serve.
void notice_term(member_state& it, core::term_number term);

/// Whether the member holds all entries that its term began with and knows the
/// term's primary. Only then may it answer reads.
bool is_current(const member_state& it);

/// Adds an entry on the primary and returns its position.
core::log_number append(member_state& it, log_entry entry);

pull_request make_pull(const member_state& it, std::chrono::milliseconds lag);

pull_reply answer_pull(member_state& it, const pull_request& request,
                       core::time_point now);

/// Whether the reply changes anything at the replica that sent the request.
bool has_news(const pull_request& request, const pull_reply& reply);

/// When the reply may have more entries, if there are any.
std::optional<core::time_point> next_due(const member_state& it,
                                         const pull_request& request,
                                         const pull_reply& reply);

/// Applies a reply of the primary. False, without effect, if the reply was
/// refused, is for another term or does not continue the present log.
bool take_pull(member_state& it, const pull_request& request,
               const pull_reply& reply, core::time_point now);

}  // namespace godwitbarrow::standins
