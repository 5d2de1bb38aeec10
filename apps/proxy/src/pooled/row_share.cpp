#include "row_share.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "content_exchange.hpp"
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

/// Below the limit of a frame, which also holds the last row of a part.
constexpr std::size_t part_bytes = std::size_t{256} * 1024;

/// A larger update is not sent unasked.
constexpr std::size_t pushed_bytes = std::size_t{8} * 1024;

std::string content_name(const std::string& table)
{
    return "table/" + table;
}

std::size_t size_of(const hosts::row_update& update)
{
    std::size_t out = 0;
    for (const auto& row : update.rows)
        out += row.key.size() + row.value.size();
    return out;
}

/// Sends a small update, and tells of a large one.
void send_update(app& it, const core::host_id& to,
                 const hosts::row_update& update)
{
    const auto bytes = size_of(update);
    if (bytes > pushed_bytes && it.hosts.linked[to].supports_transfers)
        return offer_content(it, to, content_name(update.name),
                             {update.era, update.version});
    for (auto& part : hosts::split(update, part_bytes))
        send_to_host(it, to, peer::topic::rows, hosts::encode(std::move(part)));
    if (bytes > pushed_bytes)
        telemetry::log_event(telemetry::log_level::info, "rows sent",
                             {{"peer", to},
                              {"table", update.name},
                              {"version", update.version},
                              {"bytes", bytes}});
}

/// Asks a host that has more of the table for all of it. A small table comes
/// at once, however many large ones are fetched.
void ask_for_table(app& it, const core::host_id& from, const std::string& table)
{
    send_to_host(it, from, peer::topic::rows,
                 hosts::encode(hosts::row_request{table}));
}

void pass_on(app& it, const hosts::row_update& update,
             const std::optional<core::host_id>& from)
{
    for (const auto& [name, host] : it.hosts.linked)
        if (host.wants_rows && name != from)
            send_update(it, name, update);
}

platform::row_page page_of(const hosts::row_update& from, core::time_point now)
{
    platform::row_page out;
    out.version = from.version;
    out.era = from.era;
    out.read_at = now - from.age;
    out.store_time = from.store_time;
    out.rows.reserve(from.rows.size());
    for (const auto& n : from.rows)
        out.rows.push_back({from.name, n.key, n.value, n.version, n.deleted});
    return out;
}

hosts::row_update update_of(const hosts::table_copy& copy,
                            const platform::row_page& page,
                            const std::optional<std::uint64_t>& after,
                            core::time_point now)
{
    hosts::row_update out;
    out.name = copy.name;
    out.era = page.era;
    out.version = page.version;
    out.whole = !after;
    // Hosts were not told of versions without rows.
    out.after = std::min(after.value_or(0), copy.changed);
    out.age = std::chrono::duration_cast<milliseconds>(now - page.read_at);
    out.store_time = page.store_time;
    out.rows.reserve(page.rows.size());
    for (const auto& n : page.rows)
        out.rows.push_back({n.key, n.value, n.version, n.deleted});
    return out;
}

void take_update(app& it, followed_table& table,
                 const hosts::row_update& update,
                 const std::optional<core::host_id>& from)
{
    const auto now = core::runtime_clock::now();
    note_store_era(it, update.era);
    const auto result = hosts::apply(table.copy, update, now);
    if (result == hosts::update_result::gap && from)
        ask_for_table(it, *from, update.name);
    if (result != hosts::update_result::applied)
        return;
    forget_satisfied(it, content_name(update.name));
    advance_watch(table.watch, {table.copy.version, table.copy.era});
    if (!update.whole && update.rows.empty())
        return;
    table.handler(page_of(update, now), update.whole);
    pass_on(it, update, from);
}

void take_message(app& it, const core::host_id& from,
                  const hosts::message& what)
{
    if (const auto* request = std::get_if<hosts::row_request>(&what))
    {
        const auto n = it.hosts.tables.find(request->name);
        if (n != it.hosts.tables.end() && n->second.copy.known)
            send_update(it, from,
                        hosts::whole_update(n->second.copy,
                                            core::runtime_clock::now()));
        return;
    }
    const auto* part = std::get_if<hosts::row_update>(&what);
    if (!part)
        return;
    const auto update = hosts::join(it.hosts.linked[from].parts, *part);
    if (!update)
        return;
    const auto n = it.hosts.tables.find(update->name);
    if (n != it.hosts.tables.end())
        take_update(it, n->second, *update, from);
}

watch_pace pace_of(const hosts::reader_role& role)
{
    if (!role.reading)
        return watch_pace::resting;
    return role.appointed ? watch_pace::prompt : watch_pace::relaxed;
}

/// The table as hosts fetch it from this one.
transfer::content_ptr table_content(const followed_table& of)
{
    if (!of.copy.known)
        return nullptr;
    const auto update =
        hosts::whole_update(of.copy, core::runtime_clock::now());
    return std::make_shared<transfer::content>(
        transfer::content{{update.era, update.version}, hosts::encode(update)});
}

bool lacks(const followed_table& it, const transfer::revision& at)
{
    const auto& own = it.copy;
    return !own.known || at.era > own.era ||
           (at.era == own.era && at.version > own.version);
}

void take_fetched(app& it, followed_table& table, transfer::arrived_content got)
{
    auto what = hosts::decode(got.what.bytes);
    auto* body = std::get_if<hosts::message>(&what);
    auto* update = body ? std::get_if<hosts::row_update>(body) : nullptr;
    if (!update || update->name != table.copy.name || !update->whole)
        return;
    update->age += std::chrono::ceil<milliseconds>(got.age);
    update->store_time += std::chrono::floor<milliseconds>(got.took);
    take_update(it, table, *update, got.from);
}

void share_table(app& it, followed_table& table)
{
    add_content(
        it, content_name(table.copy.name),
        {[&table] { return table_content(table); },
         [&table](const transfer::revision& at) { return lacks(table, at); },
         [&it, &table](transfer::arrived_content got)
         {
             take_fetched(it, table, std::move(got));
         }});
}

void begin_to_follow(app& it, const std::string& name, const watch_times& times,
                     row_handler handler)
{
    auto& table = it.hosts.tables[name];
    table.copy.name = name;
    table.handler = std::move(handler);
    share_table(it, table);
    table.watch = watch_table(
        it, name, times,
        [&it, &table](const platform::row_page& page,
                      const std::optional<std::uint64_t>& after)
        {
            const auto now = core::runtime_clock::now();
            take_update(it, table, update_of(table.copy, page, after, now),
                        std::nullopt);
        });
    if (it.hosts.role_known)
        set_pace(it, table.watch, pace_of(it.hosts.role));
}

}  // namespace
}  // namespace detail

void follow_table(app& it, std::string_view table, const watch_times& times,
                  row_handler handler)
{
    boost::asio::post(
        it.hosts.strand, [&it, name = std::string(table), times,
                          handler = std::move(handler)]() mutable
        { detail::begin_to_follow(it, name, times, std::move(handler)); });
}

void accept_shared_rows(app& it)
{
    on_host_message(
        it, peer::topic::rows,
        [&it](const core::host_id& from, std::string_view bytes)
        {
            auto what = hosts::decode(bytes);
            if (!ok(what))
                return;
            boost::asio::post(
                it.hosts.strand,
                [&it, from, what = std::get<hosts::message>(std::move(what))]
                { detail::take_message(it, from, what); });
        });
}

void send_all_tables(app& it, const core::host_id& to)
{
    const auto now = core::runtime_clock::now();
    for (const auto& [name, table] : it.hosts.tables)
        if (table.copy.known)
            detail::send_update(it, to, hosts::whole_update(table.copy, now));
}

void note_positions(app& it, const core::host_id& from,
                    const std::vector<hosts::table_position>& known)
{
    auto& ahead = it.hosts.linked[from].ahead;
    const auto now = core::runtime_clock::now();
    for (const auto& position : known)
    {
        const auto n = it.hosts.tables.find(position.name);
        if (n == it.hosts.tables.end())
            continue;
        if (hosts::confirm(n->second.copy, position, now))
            ahead.erase(position.name);
        // The rows may just be on their way after the first heartbeat.
        else if (!ahead.insert(position.name).second)
            detail::ask_for_table(it, from, position.name);
    }
}

std::vector<hosts::table_position> known_positions(const app& it)
{
    std::vector<hosts::table_position> out;
    const auto now = core::runtime_clock::now();
    for (const auto& [name, table] : it.hosts.tables)
        if (table.copy.known)
            out.push_back(hosts::position_of(table.copy, now));
    return out;
}

bool store_answers(const app& it)
{
    return std::all_of(
        it.hosts.tables.begin(), it.hosts.tables.end(),
        [](const auto& n)
        { return n.second.copy.known && is_answered(n.second.watch); });
}

bool store_fails(const app& it)
{
    return std::any_of(it.hosts.tables.begin(), it.hosts.tables.end(),
                       [](const auto& n)
                       { return !is_answered(n.second.watch); });
}

void set_reading(app& it, const hosts::reader_role& role)
{
    for (auto& [name, table] : it.hosts.tables)
        set_pace(it, table.watch, detail::pace_of(role));
}

}  // namespace godwitbarrow::proxy::pooled
