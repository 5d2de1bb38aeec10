#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/names.hpp"
#include "godwitbarrow/core/position.hpp"
#include "godwitbarrow/pooler/statement.hpp"

/// A database group with asynchronous replication, for tests. Sans I/O.
namespace godwitbarrow::model
{

using session_number = std::uint64_t;

struct change
{
    std::string item;
    std::string value;
    /// Statement of the caller that wrote it.
    core::request_id by;
};

struct commit
{
    core::group_id group;
    core::log_position at;
    std::vector<change> changes;
    core::time_point made;
};
using commit_ptr = std::shared_ptr<const commit>;

struct member
{
    bool running = true;
    /// Whether it receives what the primary commits.
    bool receives = true;
    /// Share of all statements that it refuses as busy.
    unsigned failing_percent = 0;
    std::vector<commit_ptr> log;
    std::map<std::string, std::string> items;
    /// Term of the primary whose log it holds.
    core::term_number log_term = 1;
    /// A paused replica receives nothing; 0 if it is not paused.
    core::term_number paused_at = 0;
    std::chrono::milliseconds lag{60};
};

/// What one connection to a member holds.
struct member_session
{
    core::server_id server;
    pooler::session_state state = pooler::session_state::idle;
    bool read_only = false;
    /// Term of the primary that began the transaction.
    core::term_number began_in = 0;
    /// Number of the transaction, 0 outside of one.
    std::uint64_t transaction = 0;
    std::vector<change> uncommitted;
    std::map<std::string, std::string> values;
    std::map<std::string, pooler::statement> prepared;
};

struct pending_promotion
{
    core::server_id server;
    core::time_point due;
};

struct group
{
    core::group_id name;
    std::map<core::server_id, member> members;
    /// Its log is the one that counts, also while it is down.
    core::server_id primary;
    core::term_number term = 1;
    std::size_t synchronous_replicas = 0;
    std::chrono::milliseconds promotion_time{600};
    /// Whether a replaced primary leads on until it is told to step down or has
    /// reached its successor for `former_primary_time`.
    bool former_primary_leads = false;
    std::chrono::milliseconds former_primary_time{1000};
    std::optional<core::server_id> former_primary;
    core::time_point replaced_at;
    /// The primary was told to step down and has no successor yet.
    bool stepped_down = false;
    std::optional<pending_promotion> promotion;
    /// Commits that a promotion rolled back. A later promotion of a member that
    /// still has them does not take them off.
    std::set<commit_ptr> rolled_back;
    std::unordered_map<session_number, member_session> sessions;
    session_number last_session = 0;
    std::uint64_t last_transaction = 0;
    std::uint64_t last_signature = 0;
    unsigned failing_counter = 0;
};

/// A statement that a member ran.
struct run
{
    /// Empty for statements of the proxy.
    core::request_id id;
    core::server_id server;
    session_number session = 0;
    std::uint64_t transaction = 0;
    pooler::statement what;
    /// Shape of a prepared statement that was executed.
    std::string shape;
    std::map<std::string, std::string> values;
    std::string signature;
    std::vector<std::string> rows;
    /// What it committed, if anything.
    commit_ptr committed;
};

struct executed
{
    /// Absent if the answer waits for a replica that does not receive.
    std::optional<pooler::answer> answer;
    /// Absent if the member refused or answered without running.
    std::optional<run> what;
};

group make_group(const std::string& name,
                 const std::vector<std::string>& members);

session_number open_session(group& it, const core::server_id& server);

/// Rolls back. Unknown numbers have no effect.
void close_session(group& it, session_number session);

executed execute(group& it, session_number session, const pooler::query& what,
                 core::time_point now);

/// Lets replicas receive what is due and a promotion take effect. Returns
/// whether the role of a member changed.
bool advance(group& it, core::time_point now);

/// False if the member does not run. Takes effect later.
bool order_promotion(group& it, const core::server_id& server,
                     core::time_point now);

/// Ends the member and its sessions; its log remains.
void stop_member(group& it, const core::server_id& server);
void start_member(group& it, const core::server_id& server);

core::log_position position_of(const member& it);

bool contains(const member& it, const commit& what);

bool has_position(const member& it, const core::log_position& at);

/// Whether the member accepts writes.
bool leads(const group& it, const core::server_id& server);

/// Makes a primary of a term below `term` a replica.
void step_down(group& it, const core::server_id& server,
               core::term_number term);

}  // namespace godwitbarrow::model
