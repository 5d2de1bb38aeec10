#include <algorithm>

#include "builder.hpp"
#include "encode_membership.hpp"
#include "wire_limits.hpp"

namespace godwitbarrow::peer
{
namespace detail
{
namespace
{

constexpr std::size_t initial_bytes = 1024;

/// A union member with its type.
template <class Type>
struct chosen
{
    Type type;
    flatbuffers::Offset<void> value;
};
using chosen_body = chosen<wire::body>;
using chosen_result = chosen<wire::answer_result>;

wire::log_position convert(const core::log_position& it)
{
    return {it.term, it.position};
}

flatbuffers::Optional<std::uint64_t> convert(
    const std::optional<std::chrono::milliseconds>& it)
{
    if (!it)
        return flatbuffers::nullopt;
    return static_cast<std::uint64_t>(
        std::clamp(*it, std::chrono::milliseconds(0),
                   std::chrono::milliseconds(longest_duration))
            .count());
}

std::int64_t remaining_us(core::time_point deadline, core::time_point now)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
    return std::clamp(left, std::chrono::microseconds(0),
                      std::chrono::microseconds(longest_duration))
        .count();
}

chosen_body put_body(builder& to, const hello& it, core::time_point)
{
    const auto host = put(to, it.host);
    return {wire::body::body_hello,
            wire::Createhello(to, host, it.incarnation).Union()};
}

chosen_body put_body(builder& to, const execute& it, core::time_point now)
{
    const auto& req = it.request;
    const auto id = put(to, req.id);
    const auto group = put(to, req.group);
    const auto kind = put(to, req.kind);
    const auto statement = put(to, req.statement);
    const auto key = put(to, req.key);
    const auto transaction = put(to, req.transaction);
    const auto server = put(to, it.server);
    const auto token = convert(req.token.value_or(core::log_position{}));
    const auto made = wire::Createexecute(
        to, id, group, kind, static_cast<wire::rank>(req.importance),
        static_cast<wire::access_mode>(req.access), statement,
        req.token ? &token : nullptr, convert(req.max_age), key, transaction,
        server, remaining_us(req.deadline, now));
    return {wire::body::body_execute, made.Union()};
}

chosen_result put_result(builder& to, const core::completed& it)
{
    const auto rows = put(to, it.rows);
    const auto server = put(to, it.server);
    const auto transaction = put(to, it.transaction);
    const auto at = convert(it.at);
    return {wire::answer_result::answer_result_completed,
            wire::Createcompleted(to, rows, server, &at, transaction).Union()};
}

chosen_result put_result(builder& to, const core::not_run& it)
{
    const auto reason = put(to, it.reason);
    return {wire::answer_result::answer_result_not_run,
            wire::Createnot_run(to, reason, convert(it.retry_after)).Union()};
}

chosen_result put_result(builder& to, const core::outcome_unknown& it)
{
    const auto reason = put(to, it.reason);
    return {wire::answer_result::answer_result_outcome_unknown,
            wire::Createoutcome_unknown(to, reason).Union()};
}

chosen_result put_result(builder& to, const redirected& it)
{
    const auto reason = put(to, it.reason);
    const auto primary = put(to, it.primary);
    return {wire::answer_result::answer_result_redirected,
            wire::Createredirected(to, reason, primary, it.term).Union()};
}

chosen_result put_result(builder& to, const core::outcome& it)
{
    return std::visit([&](const auto& x) { return put_result(to, x); }, it);
}

chosen_body put_body(builder& to, const answer& it, core::time_point)
{
    const auto id = put(to, it.id);
    const auto result =
        std::visit([&](const auto& x) { return put_result(to, x); }, it.result);
    return {wire::body::body_answer,
            wire::Createanswer(to, id, result.type, result.value).Union()};
}

chosen_body put_body(builder& to, const settings_request& it, core::time_point)
{
    return {wire::body::body_settings_request,
            wire::Createsettings_request(to, it.have_generation).Union()};
}

chosen_body put_body(builder& to, const settings_delta& it, core::time_point)
{
    std::vector<flatbuffers::Offset<wire::settings_file>> files;
    files.reserve(it.changed.size());
    for (const auto& file : it.changed)
    {
        const auto name = put(to, file.name);
        const auto content = put(to, file.content);
        files.push_back(wire::Createsettings_file(to, name, content));
    }
    const auto changed = to.CreateVector(files);
    const auto removed = put(to, it.removed);
    const auto digest = put(to, it.digest);
    const auto made =
        wire::Createsettings_delta(to, it.from, it.to, it.chunk_index,
                                   it.chunk_count, changed, removed, digest);
    return {wire::body::body_settings_delta, made.Union()};
}

chosen_body put_body(builder& to, const membership::summary& it,
                     core::time_point)
{
    return {wire::body::body_summary, put_summary(to, it).Union()};
}

chosen_body put_body(builder& to, const membership::news_request& it,
                     core::time_point)
{
    return {wire::body::body_news_request, put_request(to, it).Union()};
}

chosen_body put_body(builder& to, const membership::news& it, core::time_point)
{
    return {wire::body::body_news, put_news(to, it).Union()};
}

chosen_body put_body(builder& to, const observe& it, core::time_point)
{
    const auto group = put(to, it.group);
    const auto server = put(to, it.server);
    return {wire::body::body_observe,
            wire::Createobserve(to, it.round, group, server).Union()};
}

chosen_body put_body(builder& to, const observation& it, core::time_point)
{
    const auto observer = put(to, it.observer);
    const auto group = put(to, it.group);
    const auto server = put(to, it.server);
    const auto from = it.status.value_or(core::member_status{});
    const wire::member_status status(from.term, from.log_term, from.position,
                                     static_cast<wire::member_role>(from.role),
                                     from.primary_contact);
    const auto made =
        wire::Createobservation(to, it.round, observer, group, server,
                                it.reachable, it.status ? &status : nullptr);
    return {wire::body::body_observation, made.Union()};
}

chosen_body put_body(builder& to, const suspicion& it, core::time_point)
{
    const auto group = put(to, it.group);
    const auto server = put(to, it.server);
    const auto reporter = put(to, it.reporter);
    return {wire::body::body_suspicion,
            wire::Createsuspicion(to, group, server, reporter).Union()};
}

chosen_body put_body(builder& to, const probe& it, core::time_point)
{
    const auto target = put(to, it.target);
    return {wire::body::body_probe,
            wire::Createprobe(to, it.nonce, target).Union()};
}

chosen_body put_body(builder& to, const probe_answer& it, core::time_point)
{
    const auto target = put(to, it.target);
    return {
        wire::body::body_probe_answer,
        wire::Createprobe_answer(to, it.nonce, target, it.reachable).Union()};
}

chosen_body put_body(builder& to, const payload& it, core::time_point)
{
    const auto* begin = reinterpret_cast<const std::uint8_t*>(it.bytes.data());
    const auto bytes = to.CreateVector(begin, it.bytes.size());
    return {wire::body::body_payload,
            wire::Createpayload(to, static_cast<std::uint8_t>(it.about), bytes)
                .Union()};
}

}  // namespace
}  // namespace detail

std::string_view to_string(topic it)
{
    switch (it)
    {
        case topic::hosts:
            return "hosts";
        case topic::rows:
            return "rows";
        case topic::configuration:
            return "configuration";
        case topic::sessions:
            return "sessions";
        case topic::quotas:
            return "quotas";
        case topic::transfers:
            return "transfers";
    }
    return "unknown";
}

std::vector<std::uint8_t> encode(const message& it, core::time_point now)
{
    detail::builder to(detail::initial_bytes);
    const auto body = std::visit(
        [&](const auto& x) { return detail::put_body(to, x, now); }, it);
    wire::FinishenvelopeBuffer(to,
                               wire::Createenvelope(to, body.type, body.value));
    const auto* begin = to.GetBufferPointer();
    return {begin, begin + to.GetSize()};
}

}  // namespace godwitbarrow::peer
