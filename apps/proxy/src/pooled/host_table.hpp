#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "godwitbarrow/hosts/liveness.hpp"
#include "godwitbarrow/hosts/readers.hpp"
#include "godwitbarrow/hosts/table_copy.hpp"
#include "godwitbarrow/platform/rows.hpp"

/// What this host knows of the others and of the tables of the store.
namespace godwitbarrow::proxy::pooled
{

struct service_link;
struct table_watch;

using row_handler = std::function<void(const platform::row_page&, bool whole)>;

struct followed_table
{
    hosts::table_copy copy;
    std::shared_ptr<table_watch> watch;
    row_handler handler;
};

/// A host with an open link.
struct linked_host
{
    /// It relies on heartbeats of this host.
    bool follows = false;
    bool wants_rows = false;
    /// It fetches large updates; another host gets them unasked.
    bool supports_transfers = false;
    hosts::update_parts parts;
    /// Tables of which it had more than this host at its last heartbeat.
    std::set<std::string> ahead;
};

/// The row of this host in the store.
struct own_row
{
    std::shared_ptr<service_link> link;
    std::optional<core::time_point> written;
    bool writing = false;
    std::optional<core::time_point> tried;
};

/// Used on its strand only.
struct host_table
{
    explicit host_table(boost::asio::io_context& io)
        : strand(boost::asio::make_strand(io))
    {
    }

    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    hosts::liveness_settings liveness;
    hosts::reader_settings reading;
    hosts::liveness known;
    hosts::reader_state readers;
    hosts::reader_role role;
    std::map<std::string, followed_table> tables;
    std::map<core::host_id, linked_host> linked;
    own_row row;
    std::size_t live = 1;
    core::time_point started;
    /// Whether roles are decided: once the hosts are known, or late.
    bool role_known = false;
    core::time_point next_heartbeat;
    std::uint64_t heartbeats = 0;
};

}  // namespace godwitbarrow::proxy::pooled
