#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "godwitbarrow/core/endpoint.hpp"

/// Forwards TCP connections on loopback and harms them on request. All of it
/// runs on one thread.
namespace soak
{

namespace core = godwitbarrow::core;

struct link_faults
{
    std::chrono::milliseconds delay{0};
    /// Bytes wait until the cut ends, in the direction of the server or back.
    bool cut_to_server = false;
    bool cut_to_client = false;
};

struct link_proxy;
using link_proxy_ptr = std::shared_ptr<link_proxy>;

/// Chooses links by the host that opened them: the second word of the first
/// line, empty for protocols without one.
using link_filter = std::function<bool(const std::string& host)>;

link_proxy_ptr open_proxy(boost::asio::io_context& io,
                          const core::endpoint& to);

std::uint16_t port_of(const link_proxy& it);

/// Applies to open links and to those that come.
void set_faults(link_proxy& it, link_filter on, const link_faults& faults);
void end_faults(link_proxy& it);

/// Closes open links with a reset.
void reset_links(link_proxy& it, const link_filter& on);

/// Lets nothing pass on the open links any more; new ones work.
void silence_links(link_proxy& it, const link_filter& on);

void close_proxy(link_proxy& it);

}  // namespace soak
