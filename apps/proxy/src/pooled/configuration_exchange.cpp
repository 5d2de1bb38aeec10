#include "configuration_exchange.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <mutex>

#include "content_exchange.hpp"
#include "godwitbarrow/hosts/messages.hpp"
#include "godwitbarrow/platform/records.hpp"
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

/// A reader of the store in the own data centre usually sends a new
/// configuration within this time.
constexpr milliseconds ask_delay{100};
/// The same for hosts that are farther away, and for a host that reads the
/// store itself.
constexpr milliseconds far_ask_delay{300};
constexpr milliseconds ask_again{500};
/// Below the limit of a frame between hosts.
constexpr std::size_t largest_text = std::size_t{1000} * 1000;
const std::string text_content = "configuration";
const std::string row_content =
    "table/" + std::string(platform::operator_table);

void send(app& it, const core::host_id& to, const hosts::message& what)
{
    send_to_host(it, to, peer::topic::configuration, hosts::encode(what));
}

/// A host that serves a newer configuration in chunks.
struct newer_holder
{
    core::host_id host;
    told_configuration told;
};

/// The hosts that have a newer configuration.
struct newer_configuration
{
    std::uint64_t version = 0;
    std::vector<newer_holder> holders;
    /// A host of an earlier version of the program that sends the text whole.
    std::optional<core::host_id> whole_sender;
};

std::optional<newer_configuration> find_newer(const configuration_table& from)
{
    newer_configuration out;
    for (const auto& [host, told] : from.told)
        out.version = std::max(out.version, told.version);
    if (out.version <= from.version)
        return std::nullopt;
    for (const auto& [host, told] : from.told)
    {
        if (told.version <= from.version)
            continue;
        if (told.supports_transfers)
            out.holders.push_back({host, told});
        else if (told.version == out.version)
            out.whole_sender = host;
    }
    return out;
}

/// Fetches the rows of the operator, which every host needs in any case. After
/// a restore of the store they may be older than the text, which is fetched
/// then.
void fetch_newer(app& it, const newer_configuration& from)
{
    for (const auto& [host, told] : from.holders)
        if (told.rows && lacks_content(it, row_content, *told.rows))
            fetch_content(it, row_content, host, *told.rows);
        else if (lacks_content(it, text_content, {0, told.version}))
            fetch_content(it, text_content, host, {0, told.version});
}

/// Asks for a newer configuration until it is in force or no host has it.
void ask_for_newest(app& it)
{
    std::optional<newer_configuration> from;
    const auto now = core::runtime_clock::now();
    {
        std::lock_guard lock(it.configuration.mutex);
        auto& table = it.configuration;
        from = find_newer(table);
        if (!from || (table.asked && now - *table.asked < ask_again))
            return;
        table.asked = now;
    }
    if (!from->holders.empty())
        boost::asio::post(it.hosts.strand, [&it, from = std::move(*from)]
                          { fetch_newer(it, from); });
    else if (from->whole_sender)
        send(it, *from->whole_sender,
             hosts::configuration_request{from->version});
    after(it, ask_again, [&it] { ask_for_newest(it); });
}

bool is_nearby(const app& it, const core::host_id& host)
{
    const auto known = find_host(it, host);
    return known && known->data_centre == it.settings.data_centre;
}

void take_notice(app& it, const core::host_id& from,
                 const hosts::configuration_notice& what)
{
    {
        std::lock_guard lock(it.configuration.mutex);
        auto& told = it.configuration.told[from];
        told.version = std::max(told.version, what.version);
        told.supports_transfers = what.supports_transfers;
        told.rows.reset();
        if (what.rows_version > 0)
            told.rows = {what.rows_era, what.rows_version};
        if (what.version <= it.configuration.version)
            return;
    }
    after(it, is_nearby(it, from) ? ask_delay : far_ask_delay,
          [&it] { ask_for_newest(it); });
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
        return take_notice(it, from, *n);
    if (const auto* n = std::get_if<hosts::configuration_request>(&what))
        return answer_request(it, from, n->version);
    if (auto* n = std::get_if<hosts::configuration_content>(&what))
        boost::asio::post(it.hosts.strand, [&it, text = std::move(n->text)]
                          { it.configuration.handler(text); });
}

hosts::configuration_notice make_notice(const configuration_table& of)
{
    const auto rows = of.rows.value_or(transfer::revision{});
    return {of.version, true, rows.era, rows.version};
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
    table.told[peer] = {};
    if (table.version > 0)
        send(it, peer, make_notice(table));
}

transfer::content_ptr newest_text(const app& it)
{
    std::lock_guard lock(it.configuration.mutex);
    const auto& table = it.configuration;
    if (table.version == 0)
        return nullptr;
    return std::make_shared<transfer::content>(
        transfer::content{{0, table.version}, table.text});
}

bool lacks(const app& it, const transfer::revision& at)
{
    std::lock_guard lock(it.configuration.mutex);
    return at.version > it.configuration.version;
}

}  // namespace
}  // namespace detail

void exchange_configurations(app& it, configuration_handler handler)
{
    it.configuration.handler = std::move(handler);
    add_content(
        it, detail::text_content,
        {[&it] { return detail::newest_text(it); },
         [&it](const transfer::revision& at) { return detail::lacks(it, at); },
         [&it](const transfer::arrived_content& got)
         {
             it.configuration.handler(got.what.bytes);
         }});
    on_host_message(it, peer::topic::configuration,
                    [&it](const core::host_id& from, std::string_view bytes)
                    { detail::take_message(it, from, bytes); });
    on_host_link(it, [&it](const core::host_id& peer, bool open)
                 { detail::take_link(it, peer, open); });
}

bool announce_configuration(app& it, std::uint64_t version, std::string text,
                            const std::optional<transfer::revision>& rows)
{
    std::lock_guard lock(it.configuration.mutex);
    auto& table = it.configuration;
    if (version <= table.version)
        return false;
    table.version = version;
    table.text = std::move(text);
    table.rows = rows;
    for (const auto& [host, told] : table.told)
        detail::send(it, host, detail::make_notice(table));
    return true;
}

void note_in_force(app& it, std::uint64_t version)
{
    {
        std::lock_guard lock(it.configuration.mutex);
        it.configuration.in_force = version;
    }
    boost::asio::post(it.hosts.strand,
                      [&it] { forget_satisfied(it, detail::text_content); });
}

std::uint64_t version_told_by(const app& it, const core::host_id& host)
{
    std::lock_guard lock(it.configuration.mutex);
    const auto n = it.configuration.told.find(host);
    return n == it.configuration.told.end() ? 0 : n->second.version;
}

bool is_as_new_as(const app& it, const core::host_id& host)
{
    std::lock_guard lock(it.configuration.mutex);
    const auto n = it.configuration.told.find(host);
    return n == it.configuration.told.end() ||
           n->second.version <= it.configuration.in_force;
}

}  // namespace godwitbarrow::proxy::pooled
