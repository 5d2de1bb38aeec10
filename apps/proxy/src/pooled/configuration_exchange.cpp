#include "configuration_exchange.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <mutex>

#include "godwitbarrow/hosts/messages.hpp"
#include "godwitbarrow/telemetry/log.hpp"
#include "mesh.hpp"
#include "store_link.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

using std::chrono::milliseconds;

/// A reader of the store usually sends a new configuration within this time.
constexpr milliseconds ask_delay{100};
constexpr milliseconds ask_again{500};
/// Below the limit of a frame between hosts.
constexpr std::size_t largest_text = std::size_t{1000} * 1000;

void send(app& it, const core::host_id& to, const hosts::message& what)
{
    send_to_host(it, to, peer::topic::configuration, hosts::encode(what));
}

/// The host with the highest version above the own one.
std::optional<core::host_id> find_newest(const configuration_table& from)
{
    const auto n = std::max_element(from.told.begin(), from.told.end(),
                                    [](const auto& a, const auto& b)
                                    { return a.second < b.second; });
    if (n == from.told.end() || n->second <= from.version)
        return std::nullopt;
    return n->first;
}

/// Asks for a newer configuration until it is in force or no host has it.
void ask_for_newest(app& it)
{
    std::optional<core::host_id> to;
    std::uint64_t version = 0;
    const auto now = core::runtime_clock::now();
    {
        std::lock_guard lock(it.configuration.mutex);
        auto& table = it.configuration;
        to = find_newest(table);
        if (!to || (table.asked && now - *table.asked < ask_again))
            return;
        table.asked = now;
        version = table.told[*to];
    }
    telemetry::log_event(telemetry::log_level::info, "configuration asked for",
                         {{"peer", *to}, {"version", version}});
    send(it, *to, hosts::configuration_request{version});
    after(it, ask_again, [&it] { ask_for_newest(it); });
}

void take_notice(app& it, const core::host_id& from, std::uint64_t version)
{
    {
        std::lock_guard lock(it.configuration.mutex);
        auto& told = it.configuration.told[from];
        told = std::max(told, version);
        if (version <= it.configuration.version)
            return;
    }
    after(it, ask_delay, [&it] { ask_for_newest(it); });
}

void answer_request(app& it, const core::host_id& to, std::uint64_t version)
{
    hosts::configuration_content out;
    {
        std::lock_guard lock(it.configuration.mutex);
        out = {it.configuration.version, it.configuration.text};
    }
    if (out.version < version)
        return;
    if (out.text.size() > largest_text)
        return telemetry::log_event(
            telemetry::log_level::warning, "configuration not sent",
            {{"peer", to},
             {"reason", "it exceeds 1 MB; the host has to read the store"}});
    telemetry::log_event(
        telemetry::log_level::info, "configuration sent",
        {{"peer", to}, {"version", out.version}, {"bytes", out.text.size()}});
    send(it, to, out);
}

void take_message(app& it, const core::host_id& from, std::string_view bytes)
{
    auto read = hosts::decode(bytes);
    if (!ok(read))
        return;
    auto& what = std::get<hosts::message>(read);
    if (const auto* n = std::get_if<hosts::configuration_notice>(&what))
        return take_notice(it, from, n->version);
    if (const auto* n = std::get_if<hosts::configuration_request>(&what))
        return answer_request(it, from, n->version);
    if (auto* n = std::get_if<hosts::configuration_content>(&what))
        boost::asio::post(it.hosts.strand, [&it, text = std::move(n->text)]
                          { it.configuration.handler(text); });
}

/// Sent under the lock, so that no version is left out between the first notice
/// on a link and the next.
void take_link(app& it, const core::host_id& peer, bool open)
{
    std::lock_guard lock(it.configuration.mutex);
    auto& table = it.configuration;
    if (!open)
    {
        table.told.erase(peer);
        return;
    }
    table.told[peer] = 0;
    if (table.version > 0)
        send(it, peer, hosts::configuration_notice{table.version});
}

}  // namespace
}  // namespace detail

void exchange_configurations(app& it, configuration_handler handler)
{
    it.configuration.handler = std::move(handler);
    on_host_message(it, peer::topic::configuration,
                    [&it](const core::host_id& from, std::string_view bytes)
                    { detail::take_message(it, from, bytes); });
    on_host_link(it, [&it](const core::host_id& peer, bool open)
                 { detail::take_link(it, peer, open); });
}

bool announce_configuration(app& it, std::uint64_t version, std::string text)
{
    std::lock_guard lock(it.configuration.mutex);
    auto& table = it.configuration;
    if (version <= table.version)
        return false;
    table.version = version;
    table.text = std::move(text);
    for (const auto& [host, told] : table.told)
        detail::send(it, host, hosts::configuration_notice{version});
    return true;
}

void note_in_force(app& it, std::uint64_t version)
{
    std::lock_guard lock(it.configuration.mutex);
    it.configuration.in_force = version;
}

std::uint64_t version_told_by(const app& it, const core::host_id& host)
{
    std::lock_guard lock(it.configuration.mutex);
    const auto n = it.configuration.told.find(host);
    return n == it.configuration.told.end() ? 0 : n->second;
}

bool is_as_new_as(const app& it, const core::host_id& host)
{
    std::lock_guard lock(it.configuration.mutex);
    const auto n = it.configuration.told.find(host);
    return n == it.configuration.told.end() ||
           n->second <= it.configuration.in_force;
}

}  // namespace godwitbarrow::proxy::pooled
