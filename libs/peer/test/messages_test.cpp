#include "godwitbarrow/peer/messages.hpp"

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "godwitbarrow/peer/generated/peer_generated.h"

using namespace godwitbarrow;
using namespace godwitbarrow::peer;
using namespace std::chrono_literals;

namespace
{

const core::time_point sent_at{1h};
const core::time_point received_at{5h};

template <class T>
T round_trip(const T& it)
{
    const auto buf = encode(it, sent_at);
    return std::get<T>(
        std::get<message>(decode(buf.data(), buf.size(), received_at)));
}

core::request full_request()
{
    core::request it;
    it.id = {"r1"};
    it.group = {"quotes"};
    it.kind = "quote";
    it.importance = core::rank::interactive;
    it.access = core::access_mode::statement;
    it.statement = std::string("put a\0b", 7);
    it.token = core::log_position{7, 42};
    it.max_age = 250ms;
    it.deadline = sent_at + 1500us;
    it.key = core::idempotency_key{"k"};
    it.transaction = core::transaction_id{"host/3"};
    return it;
}

core::outcome outcome_of(const answer& it)
{
    return std::get<core::outcome>(it.result);
}

membership::summary full_summary()
{
    return {1, 2, 3, 4, {{"h"}, 5, false, true, {{"s1"}, {"s2"}}}, true};
}

membership::news_request full_news_request()
{
    membership::news_request it{1, 2, 3, 4, {}, {}};
    it.views[5] = 6;
    it.reports[7] = 8;
    return it;
}

membership::news full_news()
{
    const membership::host_entry host{
        {"h"}, {"dc"}, {"region"}, {"127.0.0.1", 70}, true};
    membership::news it;
    it.settings = {{1, 2, "delta"}};
    it.hosts = {{1, 2, {host}, {{"removed"}}, {{"s1"}}}};
    it.chunks = {{3, 0, 2, {host}, {{"s2"}}}};
    it.views = {{{"g"}, 6, "s"}};
    it.reports = {{{"h"}, 9, true, true, {{"s3"}}}};
    return it;
}

/// One message of each kind, with every optional field set.
std::vector<message> one_of_each()
{
    return {
        hello{{"h"}, 9},
        execute{full_request(), {"s"}, {}},
        answer{{"r"}, core::outcome(core::completed{{"x"}, {"s"}, {1, 2}, {}})},
        answer{{"r"}, redirected{{core::error_kind::no_primary, "m"}, {}, 3}},
        full_summary(),
        full_news_request(),
        full_news(),
        settings_request{4},
        settings_delta{1, 2, 0, 1, {{"a.ini", "x=1"}}, {"b.ini"}, "d"},
        observe{1, {"g"}, {"s"}},
        observation{1, {"h"}, {"g"}, {"s"}, true, core::member_status{}},
        suspicion{{"g"}, {"s"}, {"h"}},
        probe{3, core::host_id{"t"}},
        probe_answer{3, core::host_id{"t"}, false},
        payload{topic::quotas, std::string("a\0b", 3)},
    };
}

bool is_protocol_error(const core::result<message>& it)
{
    const auto* e = std::get_if<core::error>(&it);
    return e && e->kind == core::error_kind::protocol_error;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_message_travels_between_hosts)

// Guards against a message that re-encodes differently, that is against a field
// that one direction of the codec drops.
BOOST_AUTO_TEST_CASE(every_kind_of_message_survives_a_round_trip)
{
    for (const auto& it : one_of_each())
    {
        const auto buf = encode(it, sent_at);
        const auto got = decode(buf.data(), buf.size(), sent_at);
        BOOST_REQUIRE(core::ok(got));
        const auto& copy = std::get<message>(got);
        BOOST_TEST(copy.index() == it.index());
        BOOST_TEST(encode(copy, sent_at) == buf);
    }
}

BOOST_AUTO_TEST_SUITE(and_carries_a_request)

// Guards against running a request with another session, key or age bound.
BOOST_AUTO_TEST_CASE(every_field_arrives)
{
    const auto want = full_request();
    const auto got = round_trip(execute{want, {"s1"}, {}});
    BOOST_TEST(got.server.value == "s1");
    BOOST_TEST(got.request.id == want.id);
    BOOST_TEST(got.request.group == want.group);
    BOOST_TEST(got.request.kind == want.kind);
    BOOST_TEST((got.request.importance == want.importance));
    BOOST_TEST((got.request.access == want.access));
    BOOST_TEST(got.request.statement == want.statement);
    BOOST_TEST((got.request.token == want.token));
    BOOST_TEST((got.request.max_age == want.max_age));
    BOOST_TEST((got.request.key == want.key));
    BOOST_TEST((got.request.transaction == want.transaction));
}

// Guards against comparing the clocks of two hosts.
BOOST_AUTO_TEST_CASE(the_deadline_is_rebuilt_from_the_remaining_time)
{
    const auto got = round_trip(execute{full_request(), {"s1"}, {}});
    BOOST_TEST((got.remaining == 1500us));
    BOOST_TEST((got.request.deadline == received_at + 1500us));
}

BOOST_AUTO_TEST_CASE(an_expired_deadline_leaves_no_time)
{
    auto req = full_request();
    req.deadline = sent_at - 1s;
    const auto got = round_trip(execute{req, {"s1"}, {}});
    BOOST_TEST((got.remaining == 0us));
}

// Guards against an absent token that arrives as position 0 of term 0.
BOOST_AUTO_TEST_CASE(absent_fields_stay_absent)
{
    const auto got = round_trip(execute{{}, {"s1"}, {}}).request;
    BOOST_TEST(!got.token);
    BOOST_TEST(!got.max_age);
    BOOST_TEST(!got.key);
    BOOST_TEST(!got.transaction);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(and_carries_an_answer)

// Guards against telling a caller another outcome than the owner found.
BOOST_AUTO_TEST_CASE(each_outcome_keeps_its_meaning)
{
    const core::completed done{{"a", ""}, {"s"}, {3, 4}, {{"h/1"}}};
    const auto got = std::get<core::completed>(
        outcome_of(round_trip(answer{{"r"}, core::outcome(done)})));
    BOOST_TEST(got.rows == done.rows);
    BOOST_TEST(got.server == done.server);
    BOOST_TEST(got.at == done.at);
    BOOST_TEST((got.transaction == done.transaction));

    const core::error full{core::error_kind::overloaded, "try later"};
    const auto refused = std::get<core::not_run>(outcome_of(
        round_trip(answer{{"r"}, core::outcome(core::not_run{full, 20ms})})));
    BOOST_TEST((refused.reason.kind == full.kind));
    BOOST_TEST(refused.reason.message == full.message);
    BOOST_TEST((refused.retry_after == 20ms));

    const auto unknown =
        round_trip(answer{{"r"}, core::outcome(core::outcome_unknown{full})});
    BOOST_TEST(
        std::holds_alternative<core::outcome_unknown>(outcome_of(unknown)));
}

BOOST_AUTO_TEST_CASE(a_redirect_names_the_primary_and_the_term)
{
    const redirected sent{
        {core::error_kind::stale_token, "m"}, core::server_id{"s2"}, 8};
    const auto got =
        std::get<redirected>(round_trip(answer{{"r"}, sent}).result);
    BOOST_TEST((got.reason.kind == sent.reason.kind));
    BOOST_TEST((got.primary == sent.primary));
    BOOST_TEST(got.term == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(and_carries_what_a_host_knows)

// Guards against a status whose fields are swapped, which would promote the
// wrong member.
BOOST_AUTO_TEST_CASE(an_observation_keeps_the_status_of_the_member)
{
    const core::member_status status{5, 4, 99, core::member_role::primary,
                                     true};
    const auto got =
        round_trip(observation{2, {"h"}, {"g"}, {"s"}, true, status});
    BOOST_TEST(got.observer.value == "h");
    BOOST_TEST(got.group.value == "g");
    BOOST_TEST(got.server.value == "s");
    BOOST_REQUIRE(got.status);
    BOOST_TEST(got.status->term == 5U);
    BOOST_TEST(got.status->log_term == 4U);
    BOOST_TEST(got.status->position == 99U);
    BOOST_TEST((got.status->role == core::member_role::primary));
    BOOST_TEST(got.status->primary_contact);
}

// Guards against a delta that is applied to the wrong generation.
BOOST_AUTO_TEST_CASE(a_settings_delta_keeps_its_generations_and_files)
{
    const auto got = round_trip(
        settings_delta{3, 5, 1, 2, {{"a.ini", "x=1"}}, {"b.ini"}, "d"});
    BOOST_TEST(got.from == 3U);
    BOOST_TEST(got.to == 5U);
    BOOST_TEST(got.chunk_index == 1U);
    BOOST_TEST(got.chunk_count == 2U);
    BOOST_TEST(got.changed.at(0).name == "a.ini");
    BOOST_TEST(got.changed.at(0).content == "x=1");
    BOOST_TEST(got.removed.at(0) == "b.ini");
    BOOST_TEST(got.digest == "d");
}

BOOST_AUTO_TEST_CASE(the_other_lists_keep_their_entries)
{
    const auto seen = round_trip(full_summary());
    BOOST_TEST(seen.settings_generation == 1U);
    BOOST_TEST(seen.hosts_version == 2U);
    BOOST_TEST(seen.views_digest == 3U);
    BOOST_TEST(seen.reports_digest == 4U);
    BOOST_TEST(seen.own.version == 5U);
    BOOST_TEST(seen.own.leaving);
    BOOST_TEST(seen.own.unreachable.at(1).value == "s2");
    BOOST_TEST(seen.reply);
    const auto wanted = round_trip(full_news_request());
    BOOST_TEST((wanted.views == full_news_request().views));
    BOOST_TEST((wanted.reports == full_news_request().reports));
    BOOST_TEST(wanted.chunk_version == 3U);
    BOOST_TEST(wanted.chunk_index == 4U);
}

BOOST_AUTO_TEST_CASE(the_news_keep_their_entries)
{
    const auto want = full_news();
    const auto got = round_trip(want);
    BOOST_TEST(got.settings.at(0).content == "delta");
    BOOST_TEST((got.hosts.at(0).changed == want.hosts.at(0).changed));
    BOOST_TEST(got.hosts.at(0).removed.at(0).value == "removed");
    BOOST_TEST(got.hosts.at(0).leaving_servers.at(0).value == "s1");
    BOOST_TEST((got.chunks.at(0).hosts == want.chunks.at(0).hosts));
    BOOST_TEST(got.chunks.at(0).count == 2U);
    BOOST_TEST(got.views.at(0).version == 6U);
    BOOST_TEST(got.views.at(0).content == "s");
    BOOST_TEST(got.reports.at(0).version == 9U);
    BOOST_TEST(got.reports.at(0).suspected);
    BOOST_TEST(got.reports.at(0).leaving);
    BOOST_TEST(got.reports.at(0).unreachable.at(0).value == "s3");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_host_receives_damaged_bytes)

// Guards against a crash or a read outside the buffer.
BOOST_AUTO_TEST_CASE(random_bytes_are_rejected)
{
    BOOST_TEST(is_protocol_error(decode(nullptr, 0)));
    BOOST_TEST(rc::check(
        [](const std::vector<std::uint8_t>& buf)
        { RC_ASSERT(is_protocol_error(decode(buf.data(), buf.size()))); }));
}

BOOST_AUTO_TEST_CASE(a_truncated_message_is_never_read_past_its_end)
{
    for (const auto& it : one_of_each())
    {
        const auto whole = encode(it, sent_at);
        for (std::size_t n = 0; n < whole.size(); ++n)
        {
            const std::vector<std::uint8_t> buf(whole.data(), whole.data() + n);
            decode(buf.data(), buf.size());
        }
        BOOST_TEST(is_protocol_error(decode(whole.data(), 8)));
    }
}

// Guards against a crash on a damaged offset, length or enumeration. A changed
// byte may still give a valid message.
BOOST_AUTO_TEST_CASE(changed_bytes_give_a_message_or_an_error)
{
    const auto samples = one_of_each();
    const auto damage = [&](unsigned seed)
    {
        std::mt19937 random(seed);
        for (int n = 0; n < 100; ++n)
        {
            auto buf = encode(samples[random() % samples.size()], sent_at);
            for (auto k = random() % 4 + 1; k > 0; --k)
                buf[random() % buf.size()] =
                    static_cast<std::uint8_t>(random());
            const auto got = decode(buf.data(), buf.size());
            if (core::ok(got))
                encode(std::get<message>(got));
        }
    };
    BOOST_TEST(rc::check(damage));
}

// Guards against undefined behaviour for frames that start anywhere in the
// receive buffer.
BOOST_AUTO_TEST_CASE(a_message_at_an_odd_address_is_decoded)
{
    auto buf = encode(hello{{"h"}, 9});
    buf.insert(buf.begin(), 0);
    BOOST_TEST(core::ok(decode(buf.data() + 1, buf.size() - 1)));
}

// Guards against a small frame that expands to gigabytes, because many fields
// may refer to one long string.
BOOST_AUTO_TEST_CASE(strings_longer_in_sum_than_the_message_are_rejected)
{
    flatbuffers::FlatBufferBuilder to;
    const auto shared = to.CreateString(std::string(100'000, 'x'));
    const std::vector<flatbuffers::Offset<flatbuffers::String>> all(1000,
                                                                    shared);
    const auto names = to.CreateVector(all);
    const auto host = to.CreateString("h");
    const auto own = wire::Createhost_report(to, host, 1, false, false, names);
    const auto body = wire::Createsummary(to, 1, 2, 3, 4, own).Union();
    wire::FinishenvelopeBuffer(
        to, wire::Createenvelope(to, wire::body::body_summary, body));
    BOOST_TEST(is_protocol_error(decode(to.GetBufferPointer(), to.GetSize())));
}

BOOST_AUTO_TEST_CASE(a_chunk_beyond_its_count_is_rejected)
{
    const auto buf = encode(settings_delta{1, 2, 3, 3, {}, {}, "d"});
    BOOST_TEST(is_protocol_error(decode(buf.data(), buf.size())));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_topic_has_a_name)

// Guards against metrics and log lines that show two topics as one, or a new
// one as "unknown".
BOOST_AUTO_TEST_CASE(that_no_other_topic_has)
{
    const std::map<topic, std::string_view> names{
        {topic::hosts, "hosts"},
        {topic::rows, "rows"},
        {topic::configuration, "configuration"},
        {topic::sessions, "sessions"},
        {topic::quotas, "quotas"},
        {topic::transfers, "transfers"}};
    for (const auto& [it, name] : names)
        BOOST_TEST(to_string(it) == name);
}

// Guards against undefined behaviour on a topic of a later version.
BOOST_AUTO_TEST_CASE(that_is_unknown_for_a_topic_of_a_later_version)
{
    BOOST_TEST(to_string(static_cast<topic>(200)) == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()
