#include "content_exchange.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "godwitbarrow/telemetry/log.hpp"
#include "mesh.hpp"
#include "store_link.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

transfer::distance distance_of(const app& it, const core::host_id& host)
{
    const auto known = find_host(it, host);
    if (!known || known->region != it.settings.region)
        return transfer::distance::far;
    return known->data_centre == it.settings.data_centre
               ? transfer::distance::same_data_centre
               : transfer::distance::same_region;
}

transfer::content_source source_of(const app& it)
{
    return [&it](const std::string& name) -> transfer::content_ptr
    {
        const auto n = it.contents.kinds.find(name);
        return n == it.contents.kinds.end() ? nullptr : n->second.newest();
    };
}

void watch_silence(app& it);

/// A receiver that ends a transfer before all was sent has found another
/// source, or the content was replaced.
std::string_view result_of(const transfer::served_host& finished)
{
    return finished.sent_bytes == finished.what->bytes.size() ? "sent"
                                                              : "cancelled";
}

void log_ended(app& it, const transfer::served_host& of,
               std::string_view result)
{
    telemetry::count_content(*it.metrics, result);
    telemetry::log_event(telemetry::log_level::info, "content sent",
                         {{"name", of.name},
                          {"peer", of.to},
                          {"version", of.what->at.version},
                          {"bytes", of.sent_bytes},
                          {"took", core::runtime_clock::now() - of.began},
                          {"served_hosts", it.contents.sender.served.size()},
                          {"waiting_hosts", it.contents.sender.waiting.size()},
                          {"result", result}});
}

void send(app& it, const std::vector<transfer::outgoing>& all)
{
    const auto& sender = it.contents.sender;
    telemetry::set_content_load(*it.metrics, sender.served.size(),
                                sender.waiting.size());
    for (const auto& n : all)
        send_to_host(it, n.to, peer::topic::transfers,
                     transfer::encode(n.what));
    watch_silence(it);
}

void end_silent(app& it)
{
    it.contents.watching = false;
    const auto now = core::runtime_clock::now();
    auto& all = it.contents;
    for (const auto& n : transfer::find_expired(all.sender, now))
        log_ended(it, n, "silent");
    send(it, transfer::expire(all.sender, source_of(it), now));
    send(it, transfer::expire(all.receiver, now));
}

/// Looks for silent hosts as long as there are transfers.
void watch_silence(app& it)
{
    if (it.contents.watching)
        return;
    const auto sending = transfer::next_expiry(it.contents.sender);
    const auto receiving = transfer::next_expiry(it.contents.receiver);
    if (!sending && !receiving)
        return;
    constexpr auto never = core::time_point::max();
    const auto due =
        std::min(sending.value_or(never), receiving.value_or(never));
    it.contents.watching = true;
    const auto pause = std::max(due - core::runtime_clock::now(),
                                core::duration(std::chrono::milliseconds(1)));
    after(it, std::chrono::ceil<std::chrono::milliseconds>(pause),
          [&it]
          { boost::asio::post(it.hosts.strand, [&it] { end_silent(it); }); });
}

void take(app& it, const core::host_id& from, const transfer::notice& what)
{
    const auto n = it.contents.kinds.find(what.name);
    if (n != it.contents.kinds.end() && n->second.lacks(what.at))
        fetch_content(it, what.name, from, what.at);
}

void take(app& it, const core::host_id& from, const transfer::request& what)
{
    send(it, transfer::take_request(it.contents.sender, from, what,
                                    source_of(it), core::runtime_clock::now()));
}

void take(app& it, const core::host_id& from, const transfer::finished& what)
{
    const auto now = core::runtime_clock::now();
    auto& all = it.contents;
    // Either host may end a transfer.
    if (const auto* n =
            transfer::find_served(it.contents.sender, from, what.name))
        log_ended(it, *n, result_of(*n));
    send(it,
         transfer::take_finished(all.sender, from, what, source_of(it), now));
    send(it, transfer::take_finished(all.receiver, from, what, now));
}

void take(app& it, const core::host_id& from, const transfer::queued& what)
{
    transfer::take_queued(it.contents.receiver, from, what,
                          core::runtime_clock::now());
}

void take(app& it, const core::host_id& from, transfer::chunk what)
{
    auto got = transfer::take_chunk(it.contents.receiver, from, std::move(what),
                                    core::runtime_clock::now());
    send(it, got.to_send);
    if (!got.arrived)
        return;
    telemetry::log_event(telemetry::log_level::info, "content fetched",
                         {{"name", got.arrived->name},
                          {"peer", got.arrived->from},
                          {"version", got.arrived->what.at.version},
                          {"bytes", got.arrived->what.bytes.size()},
                          {"took", got.arrived->age}});
    const auto n = it.contents.kinds.find(got.arrived->name);
    if (n != it.contents.kinds.end())
        n->second.arrived(std::move(*got.arrived));
}

void take_message(app& it, const core::host_id& from, transfer::message what)
{
    std::visit([&](auto& n) { take(it, from, std::move(n)); }, what);
}

void lose_link(app& it, const core::host_id& peer)
{
    const auto now = core::runtime_clock::now();
    auto& all = it.contents;
    for (const auto& n : all.sender.served)
        if (n.to == peer)
            log_ended(it, n, "link lost");
    send(it, transfer::lose_receiver(all.sender, peer, source_of(it), now));
    send(it, transfer::lose_sender(all.receiver, peer, now));
}

}  // namespace
}  // namespace detail

void exchange_contents(app& it)
{
    it.contents.receiver.self = it.settings.name;
    on_host_message(
        it, peer::topic::transfers,
        [&it](const core::host_id& from, std::string_view bytes)
        {
            auto what = transfer::decode(bytes);
            auto* n = std::get_if<transfer::message>(&what);
            if (!n)
                return;
            boost::asio::post(
                it.hosts.strand, [&it, from, body = std::move(*n)]() mutable
                { detail::take_message(it, from, std::move(body)); });
        });
    on_host_link(it,
                 [&it](const core::host_id& peer, bool open)
                 {
                     if (open)
                         return;
                     boost::asio::post(it.hosts.strand, [&it, peer]
                                       { detail::lose_link(it, peer); });
                 });
}

void add_content(app& it, const std::string& name, content_kind kind)
{
    it.contents.kinds[name] = std::move(kind);
}

void offer_content(app& it, const core::host_id& to, const std::string& name,
                   const transfer::revision& at)
{
    send_to_host(it, to, peer::topic::transfers,
                 transfer::encode(transfer::notice{name, at}));
}

void fetch_content(app& it, const std::string& name, const core::host_id& from,
                   const transfer::revision& at)
{
    detail::send(it, transfer::want(it.contents.receiver, name, from,
                                    {detail::distance_of(it, from), at},
                                    core::runtime_clock::now()));
}

bool lacks_content(const app& it, const std::string& name,
                   const transfer::revision& at)
{
    const auto n = it.contents.kinds.find(name);
    return n != it.contents.kinds.end() && n->second.lacks(at);
}

void forget_satisfied(app& it, const std::string& name)
{
    detail::send(it,
                 transfer::forget_satisfied(it.contents.receiver, name,
                                            it.contents.kinds.at(name).lacks,
                                            core::runtime_clock::now()));
}

}  // namespace godwitbarrow::proxy::pooled
