#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "godwitbarrow/model/group.hpp"
#include "godwitbarrow/model/oracle.hpp"
#include "godwitbarrow/pooler/configuration.hpp"
#include "link_proxy.hpp"
#include "member_server.hpp"
#include "store_standin.hpp"

/// The platform around the hosts: groups, their members and the store.
namespace soak
{

namespace pooler = godwitbarrow::pooler;
namespace test = godwitbarrow::test;

/// Statements may reach a member that is leaving for this long.
constexpr std::chrono::milliseconds leaving_limit{7000};
/// A change of the configuration is in force after this time.
constexpr std::chrono::milliseconds configuration_limit{3000};

struct member_entry
{
    member_server_ptr server;
    link_proxy_ptr link;
    bool leaving = false;
    /// When the store accepted that it is leaving.
    core::time_point leaving_since;
    /// Changes with each start under the same name.
    unsigned start = 1;
};

struct database
{
    model::group group;
    std::map<core::server_id, member_entry> members;
};

struct deployment
{
    explicit deployment(boost::asio::io_context& context)
        : io(context), store(context)
    {
    }

    boost::asio::io_context& io;
    model::oracle judge;
    test::store_standin store;
    std::map<core::group_id, std::unique_ptr<database>> databases;
    std::uint64_t version = 0;
    std::map<std::string, pooler::route> routes;
    /// Who ordered a promotion with which fencing token.
    std::map<std::pair<std::string, std::uint64_t>, std::string> orders;
    unsigned last_member = 0;
    std::uint64_t late_statements = 0;
};

/// Groups g1..gN of three members each, and the first configuration.
void start_deployment(deployment& it, unsigned groups,
                      std::size_t synchronous_replicas);

/// Writes the routes and settings as a new configuration.
void configure(deployment& it);

/// The member's own report to the store.
void register_member(deployment& it, const database& of,
                     const core::server_id& server);
void register_all(deployment& it);

/// A new member of the group, with an empty log.
core::server_id add_member(deployment& it, database& to);
void announce_leaving(deployment& it, database& of,
                      const core::server_id& server);
/// Ends the member for good.
void remove_member(deployment& it, database& of, const core::server_id& server);

void stop_deployment(deployment& it);

}  // namespace soak
