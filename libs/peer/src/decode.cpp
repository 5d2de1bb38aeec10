#include "decode_membership.hpp"
#include "reader.hpp"
#include "wire_limits.hpp"

namespace godwitbarrow::peer
{
namespace detail
{
namespace
{

template <class Enum, class Wire>
Enum get_enum(reader& in, Wire it, Wire last)
{
    if (it > last)
        fail(in, "an enumeration has a value that this version does not know");
    return static_cast<Enum>(it);
}

core::log_position get(const wire::log_position& it)
{
    return {it.term(), it.position()};
}

std::optional<std::chrono::milliseconds> get(
    reader& in, const flatbuffers::Optional<std::uint64_t>& it)
{
    if (!it)
        return std::nullopt;
    constexpr std::chrono::milliseconds longest = longest_duration;
    if (*it > static_cast<std::uint64_t>(longest.count()))
        fail(in, "a duration exceeds 366 days");
    return std::chrono::milliseconds(*it);
}

core::error get(reader& in, const wire::error& it)
{
    const auto kind = get(in, it.kind());
    return {core::parse_error_kind(kind), get(in, it.message())};
}

hello get(reader& in, const wire::hello& it)
{
    return {get_name<core::host_id>(in, it.host()), it.incarnation()};
}

execute get(reader& in, const wire::execute& it)
{
    execute out;
    auto& req = out.request;
    req.id.value = get(in, it.id());
    req.group.value = get(in, it.group());
    req.kind = get(in, it.kind());
    req.importance =
        get_enum<core::rank>(in, it.importance(), wire::rank::rank_MAX);
    req.access = get_enum<core::access_mode>(
        in, it.access(), wire::access_mode::access_mode_MAX);
    req.statement = get(in, it.statement());
    if (it.token())
        req.token = get(*it.token());
    req.max_age = get(in, it.max_age_ms());
    req.key = get_optional<core::idempotency_key>(in, it.key());
    req.transaction = get_optional<core::transaction_id>(in, it.transaction());
    out.server.value = get(in, it.server());
    constexpr std::chrono::microseconds longest = longest_duration;
    if (it.remaining_us() < 0 || it.remaining_us() > longest.count())
        fail(in, "the remaining time is negative or exceeds 366 days");
    else
        out.remaining = std::chrono::microseconds(it.remaining_us());
    req.deadline = in.now + out.remaining;
    return out;
}

core::completed get(reader& in, const wire::completed& it)
{
    core::completed out;
    out.rows = get(in, it.rows());
    out.server.value = get(in, it.server());
    out.at = get(*it.at());
    out.transaction = get_optional<core::transaction_id>(in, it.transaction());
    return out;
}

redirected get(reader& in, const wire::redirected& it)
{
    return {get(in, *it.reason()),
            get_optional<core::server_id>(in, it.primary()), it.term()};
}

answer get(reader& in, const wire::answer& it)
{
    answer out;
    out.id.value = get(in, it.id());
    if (const auto* x = it.result_as_completed())
        out.result = core::outcome(get(in, *x));
    else if (const auto* x = it.result_as_not_run())
        out.result = core::outcome(
            core::not_run{get(in, *x->reason()), get(in, x->retry_after_ms())});
    else if (const auto* x = it.result_as_outcome_unknown())
        out.result =
            core::outcome(core::outcome_unknown{get(in, *x->reason())});
    else if (const auto* x = it.result_as_redirected())
        out.result = get(in, *x);
    else
        fail(in, "the kind of the answer is unknown");
    return out;
}

membership::summary get(reader& in, const wire::summary& it)
{
    return get_summary(in, it);
}

membership::news_request get(reader& in, const wire::news_request& it)
{
    return get_request(in, it);
}

membership::news get(reader& in, const wire::news& it)
{
    return get_news(in, it);
}

settings_request get(reader&, const wire::settings_request& it)
{
    return {it.have_generation()};
}

settings_delta get(reader& in, const wire::settings_delta& it)
{
    settings_delta out;
    out.from = it.from();
    out.to = it.to();
    out.chunk_index = it.chunk_index();
    out.chunk_count = it.chunk_count();
    if (out.chunk_index >= out.chunk_count)
        fail(in, "the chunk index is not below the chunk count");
    for_each(
        in, it.changed(),
        [&](auto* x)
        {
            auto name = get(in, x->name());
            out.changed.push_back({std::move(name), get(in, x->content())});
        });
    out.removed = get(in, it.removed());
    out.digest = get(in, it.digest());
    return out;
}

observe get(reader& in, const wire::observe& it)
{
    return {it.round(), get_name<core::group_id>(in, it.group()),
            get_name<core::server_id>(in, it.server())};
}

observation get(reader& in, const wire::observation& it)
{
    observation out;
    out.round = it.round();
    out.observer.value = get(in, it.observer());
    out.group.value = get(in, it.group());
    out.server.value = get(in, it.server());
    out.reachable = it.reachable();
    if (const auto* x = it.status())
        out.status = core::member_status{
            x->term(), x->log_term(), x->position(),
            get_enum<core::member_role>(in, x->role(),
                                        wire::member_role::member_role_MAX),
            x->primary_contact()};
    return out;
}

suspicion get(reader& in, const wire::suspicion& it)
{
    return {get_name<core::group_id>(in, it.group()),
            get_name<core::server_id>(in, it.server()),
            get_name<core::host_id>(in, it.reporter())};
}

probe get(reader& in, const wire::probe& it)
{
    return {it.nonce(), get_optional<core::host_id>(in, it.target())};
}

probe_answer get(reader& in, const wire::probe_answer& it)
{
    return {it.nonce(), get_optional<core::host_id>(in, it.target()),
            it.reachable()};
}

payload get(reader&, const wire::payload& it)
{
    const auto* from = it.bytes();
    return {static_cast<topic>(it.topic()),
            std::string(from->begin(), from->end())};
}

template <class Table>
message get_as(reader& in, const wire::envelope& it)
{
    return get(in, *static_cast<const Table*>(it.body()));
}

message get(reader& in, const wire::envelope& it)
{
    switch (it.body_type())
    {
        case wire::body::body_hello:
            return get_as<wire::hello>(in, it);
        case wire::body::body_execute:
            return get_as<wire::execute>(in, it);
        case wire::body::body_answer:
            return get_as<wire::answer>(in, it);
        case wire::body::body_summary:
            return get_as<wire::summary>(in, it);
        case wire::body::body_news_request:
            return get_as<wire::news_request>(in, it);
        case wire::body::body_news:
            return get_as<wire::news>(in, it);
        case wire::body::body_settings_request:
            return get_as<wire::settings_request>(in, it);
        case wire::body::body_settings_delta:
            return get_as<wire::settings_delta>(in, it);
        case wire::body::body_observe:
            return get_as<wire::observe>(in, it);
        case wire::body::body_observation:
            return get_as<wire::observation>(in, it);
        case wire::body::body_suspicion:
            return get_as<wire::suspicion>(in, it);
        case wire::body::body_probe:
            return get_as<wire::probe>(in, it);
        case wire::body::body_probe_answer:
            return get_as<wire::probe_answer>(in, it);
        case wire::body::body_payload:
            return get_as<wire::payload>(in, it);
        case wire::body::body_NONE:
            break;
    }
    fail(in, "the kind of the message is unknown");
    return {};
}

core::error invalid(const char* why)
{
    return {core::error_kind::protocol_error,
            std::string("invalid peer message: ") + why +
                "; check that all hosts run compatible versions"};
}

core::result<message> decode_aligned(const std::uint8_t* bytes,
                                     std::size_t size, core::time_point now)
{
    flatbuffers::Verifier verifier(bytes, size);
    if (!wire::VerifyenvelopeBuffer(verifier))
        return invalid("the encoding is damaged");
    reader in{size, now};
    auto out = get(in, *wire::Getenvelope(bytes));
    if (in.fault)
        return invalid(in.fault);
    return out;
}

}  // namespace
}  // namespace detail

core::result<message> decode(const std::uint8_t* bytes, std::size_t size,
                             core::time_point now)
{
    constexpr std::size_t alignment = alignof(std::uint64_t);
    if (reinterpret_cast<std::uintptr_t>(bytes) % alignment == 0)
        return detail::decode_aligned(bytes, size, now);
    const std::vector<std::uint8_t> copy(bytes, bytes + size);
    return detail::decode_aligned(copy.data(), size, now);
}

}  // namespace godwitbarrow::peer
