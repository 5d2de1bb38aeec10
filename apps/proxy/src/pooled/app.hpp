#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "caller_table.hpp"
#include "configuration_table.hpp"
#include "content_table.hpp"
#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/core/lock_order.hpp"
#include "godwitbarrow/gateway/admin.hpp"
#include "godwitbarrow/pooler/decide.hpp"
#include "godwitbarrow/stream/connection.hpp"
#include "godwitbarrow/takeover/decide.hpp"
#include "godwitbarrow/telemetry/metrics.hpp"
#include "host_settings.hpp"
#include "host_table.hpp"
#include "mesh_table.hpp"
#include "quota_table.hpp"
#include "relay_table.hpp"
#include "request_log.hpp"

/// The pooler as a process: connections, timers and the store around the
/// decisions of `pooler`.
namespace godwitbarrow::proxy::pooled
{

struct service_link;

/// Sessions, members and what is still to be done for them, in order.
struct decision_table
{
    core::ordered_mutex<core::lock_level::group_state> mutex;
    pooler::state state;
    std::deque<pooler::action> outbox;
    /// Whether a thread performs the actions of `outbox`.
    bool performing = false;
};

struct link_table
{
    core::ordered_mutex<core::lock_level::connections> mutex;
    std::unordered_map<pooler::session_number, stream::connection_ptr> callers;
    std::unordered_map<pooler::connection_number, stream::connection_ptr>
        members;
    /// Connections of callers that end once their last answer is sent.
    std::vector<std::weak_ptr<stream::connection>> closing;
};

/// One group in the hands of `takeover`.
struct takeover_entry
{
    takeover::takeover_state state;
    std::shared_ptr<service_link> store;
    std::shared_ptr<service_link> promotions;
};

struct takeover_table
{
    core::ordered_mutex<core::lock_level::takeovers> mutex;
    std::map<core::group_id, takeover_entry> groups;
    /// Whether the claims of other hosts are followed.
    std::atomic<bool> claims_followed{false};
    /// For reads of all claims, one at a time.
    std::shared_ptr<service_link> claims;
    std::atomic<bool> reading_claims{false};
    /// When they were last read because a group awaits its settlement. Used by
    /// the timer that looks at the groups.
    core::time_point settlement_read_at{};
};

/// What the answers of the store have shown.
struct store_observation
{
    /// Rises each time the store is restored from a copy.
    std::atomic<std::uint64_t> newest_era{0};
};

struct app
{
    explicit app(host_settings it)
        : settings(std::move(it)),
          io(static_cast<int>(settings.workers)),
          acceptor(io),
          hosts(io),
          relays(io),
          tick(io)
    {
    }

    const host_settings settings;
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor;
    host_table hosts;
    decision_table decisions;
    link_table links;
    caller_table callers;
    takeover_table takeovers;
    mesh_table mesh;
    relay_table relays;
    quota_table quotas;
    configuration_table configuration;
    content_table contents;
    store_observation store;
    /// Used by the thread that performs actions.
    request_log requests;
    std::atomic<pooler::session_number> last_session{0};
    core::timer tick;
    std::atomic<bool> ticking{false};
    std::atomic<bool> ready{false};
    /// Whether it has found the owners of the groups since its start.
    std::atomic<bool> owners_settled{false};
    /// Of the configuration that was applied last.
    std::atomic<std::uint64_t> configuration_version{0};
    telemetry::metrics_ptr metrics;
    gateway::admin_ptr readiness;
    gateway::admin_ptr metrics_server;
};

/// Lets the pooler decide on the event and performs what it decided.
void handle(app& it, const pooler::event& what);

}  // namespace godwitbarrow::proxy::pooled
