#include "godwitbarrow/gateway/codec.hpp"

#include <rapidcheck.h>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::gateway;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{

const core::time_point now{1h};

core::result<parsed_request> parse(std::string_view body,
                                   std::string_view id = "r1")
{
    return parse_execute(body, id, now);
}

/// Message of the error malformed_request; empty for anything else.
std::string complaint(std::string_view body, std::string_view id = "r1")
{
    const auto got = parse(body, id);
    const auto* e = std::get_if<core::error>(&got);
    return e && e->kind == core::error_kind::malformed_request ? e->message
                                                               : "";
}

bool names(const std::string& message, std::string_view field)
{
    return message.find("field \"" + std::string(field) + "\"") == 0;
}

/// A valid read with one field replaced or added.
std::string read_with(std::string_view field, const json::value& value)
{
    json::object it{{"group", "g"},
                    {"kind", "quote"},
                    {"access", "read"},
                    {"statement", "get a"}};
    it[json::string_view(field.data(), field.size())] = value;
    return json::serialize(it);
}

std::string request_of(std::string_view access, std::string_view more = "")
{
    return R"({"group":"g","kind":"k","access":")" + std::string(access) +
           "\"" + std::string(more) + "}";
}

json::object parsed(const std::string& text)
{
    return json::parse(text).as_object();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_caller_sends_a_request)
BOOST_AUTO_TEST_SUITE(that_is_valid)

// Guards against a field that is read into the wrong place.
BOOST_AUTO_TEST_CASE(every_field_of_a_read_is_taken)
{
    const auto got = std::get<parsed_request>(parse(
        R"({"group":"quotes","kind":"browse","access":"read",
            "statement":"get a","token":"t1","max_age_ms":250,
            "deadline_ms":1500})"));
    BOOST_TEST(got.request.id.value == "r1");
    BOOST_TEST(got.request.group.value == "quotes");
    BOOST_TEST(got.request.kind == "browse");
    BOOST_TEST((got.request.access == core::access_mode::read));
    BOOST_TEST(got.request.statement == "get a");
    BOOST_TEST(got.token == "t1");
    BOOST_TEST((got.request.max_age == 250ms));
    BOOST_TEST((got.stated_deadline == 1500ms));
    BOOST_TEST((got.request.deadline == now + 1500ms));
}

BOOST_AUTO_TEST_CASE(a_write_has_its_key_and_a_commit_its_transaction)
{
    const auto write = std::get<parsed_request>(parse(request_of(
        "write", R"(,"statement":"put a b","idempotency_key":"k")")));
    BOOST_TEST((write.request.key == core::idempotency_key{"k"}));
    const auto commit = std::get<parsed_request>(
        parse(request_of("commit", R"(,"transaction":"h/1")")));
    BOOST_TEST((commit.request.transaction == core::transaction_id{"h/1"}));
}

// Guards against a request that never ends because it states no deadline.
BOOST_AUTO_TEST_CASE(the_default_deadline_is_used_if_none_is_stated)
{
    const auto got = std::get<parsed_request>(parse(request_of("begin")));
    BOOST_TEST(!got.stated_deadline);
    BOOST_TEST((got.request.deadline == now + 10s));
}

BOOST_AUTO_TEST_CASE(an_id_is_made_if_the_caller_gives_none)
{
    const auto a = std::get<parsed_request>(parse(request_of("begin"), ""));
    const auto b = std::get<parsed_request>(parse(request_of("begin"), ""));
    BOOST_TEST(a.request.id.value.size() == 32U);
    BOOST_TEST(a.request.id != b.request.id);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(that_is_malformed)

// Guards against a request that is run although its meaning is in doubt.
BOOST_AUTO_TEST_CASE(each_required_field_is_named_when_it_is_missing)
{
    for (const std::string field : {"group", "kind", "access", "statement"})
    {
        auto it = parsed(read_with("group", "g"));
        it.erase(field);
        BOOST_TEST(names(complaint(json::serialize(it)), field));
    }
}

BOOST_AUTO_TEST_CASE(each_field_of_a_wrong_type_is_named)
{
    for (const std::string field : {"group", "kind", "access", "statement",
                                    "token", "idempotency_key", "transaction"})
        BOOST_TEST(names(complaint(read_with(field, 7)), field));
    for (const std::string field : {"max_age_ms", "deadline_ms"})
    {
        BOOST_TEST(names(complaint(read_with(field, "7")), field));
        BOOST_TEST(names(complaint(read_with(field, 7.5)), field));
        BOOST_TEST(names(complaint(read_with(field, nullptr)), field));
    }
}

// Guards against a mistyped "max_age_ms" that silently drops the age bound.
BOOST_AUTO_TEST_CASE(an_unknown_field_is_named)
{
    BOOST_TEST(names(complaint(read_with("max_age", 7)), "max_age"));
    BOOST_TEST(
        names(complaint(read_with(std::string(300, 'x'), 7)), "(long name)"));
}

BOOST_AUTO_TEST_CASE(a_deadline_or_age_out_of_range_is_named)
{
    for (const std::string field : {"max_age_ms", "deadline_ms"})
    {
        BOOST_TEST(names(complaint(read_with(field, 0)), field));
        BOOST_TEST(names(complaint(read_with(field, -1)), field));
        BOOST_TEST(names(complaint(read_with(field, UINT64_MAX)), field));
    }
    BOOST_TEST(
        names(complaint(read_with("deadline_ms", 60001)), "deadline_ms"));
    BOOST_TEST(complaint(read_with("deadline_ms", 60000)).empty());
}

BOOST_AUTO_TEST_CASE(a_name_that_is_empty_or_too_long_is_named)
{
    BOOST_TEST(names(complaint(read_with("group", "")), "group"));
    BOOST_TEST(
        names(complaint(read_with("kind", json::string(257, 'k'))), "kind"));
    BOOST_TEST(complaint(read_with("kind", json::string(256, 'k'))).empty());
}

// Guards against a statement that runs outside the transaction it was meant
// for.
BOOST_AUTO_TEST_CASE(fields_that_contradict_the_access_are_named)
{
    const std::string text = R"(,"statement":"get a")";
    const std::string in = R"(,"transaction":"h/1")";
    for (const auto* it : {"commit", "rollback"})
    {
        BOOST_TEST(names(complaint(request_of(it)), "transaction"));
        BOOST_TEST(names(complaint(request_of(it, in + text)), "statement"));
    }
    BOOST_TEST(names(complaint(request_of("statement", text)), "transaction"));
    BOOST_TEST(names(complaint(request_of("statement", in)), "statement"));
    BOOST_TEST(names(complaint(request_of("begin", in)), "transaction"));
    BOOST_TEST(names(complaint(request_of("read", text + in)), "transaction"));
    BOOST_TEST(
        names(complaint(request_of("write", text + R"(,"max_age_ms":1)")),
              "max_age_ms"));
    BOOST_TEST(
        names(complaint(request_of("read", text + R"(,"idempotency_key":"k")")),
              "idempotency_key"));
}

BOOST_AUTO_TEST_CASE(a_body_that_is_no_json_object_is_rejected)
{
    for (const auto* it :
         {"", "{", "[]", "7", "{} x", "\xff", "{\"a\":\"\xff\"}"})
        BOOST_TEST(!complaint(it).empty());
    BOOST_TEST(!complaint(std::string(60000, '[')).empty());
}

// Guards against a header that would be split or logged as several lines.
BOOST_AUTO_TEST_CASE(an_unusable_request_id_is_rejected)
{
    BOOST_TEST(!complaint(request_of("begin"), "a b").empty());
    BOOST_TEST(!complaint(request_of("begin"), "a\nb").empty());
    BOOST_TEST(!complaint(request_of("begin"), std::string(257, 'a')).empty());
}

// Guards against a crash on input that no client library would send.
BOOST_AUTO_TEST_CASE(arbitrary_and_truncated_bodies_never_crash)
{
    BOOST_TEST(rc::check([](const std::string& body) { parse(body); }));
    const auto whole = read_with("token", "t");
    for (std::size_t n = 0; n < whole.size(); ++n)
        BOOST_TEST(!complaint(whole.substr(0, n)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_has_an_outcome)

// Guards against an answer that a caller takes for another outcome.
BOOST_AUTO_TEST_CASE(completed_gives_rows_token_and_position)
{
    const core::outcome it =
        core::completed{{"a=\"1\""}, {"s1"}, {3, 44}, {{"h/1"}}};
    const auto got = parsed(format_outcome({"r1"}, it, "t1"));
    BOOST_TEST(http_status(it) == 200U);
    BOOST_TEST(got.at("request_id").as_string() == "r1");
    BOOST_TEST(got.at("outcome").as_string() == "completed");
    BOOST_TEST(got.at("rows").as_array().at(0).as_string() == "a=\"1\"");
    BOOST_TEST(got.at("token").as_string() == "t1");
    BOOST_TEST(got.at("server").as_string() == "s1");
    BOOST_TEST(got.at("term").to_number<int>() == 3);
    BOOST_TEST(got.at("position").to_number<int>() == 44);
    BOOST_TEST(got.at("transaction").as_string() == "h/1");
}

BOOST_AUTO_TEST_CASE(not_run_says_whether_a_retry_can_help)
{
    const core::error full{core::error_kind::overloaded, "retry later"};
    const core::outcome it = core::not_run{full, 20ms};
    const auto got = parsed(format_outcome({"r1"}, it));
    BOOST_TEST(http_status(it) == 503U);
    BOOST_TEST(got.at("outcome").as_string() == "not_run");
    BOOST_TEST(got.at("error").as_string() == "overloaded");
    BOOST_TEST(got.at("message").as_string() == "retry later");
    BOOST_TEST(got.at("retry_after_ms").to_number<int>() == 20);
    BOOST_TEST(!parsed(format_error({"r1"}, full)).contains("retry_after_ms"));
}

BOOST_AUTO_TEST_CASE(unknown_has_a_status_that_no_other_outcome_has)
{
    const core::outcome it =
        core::outcome_unknown{{core::error_kind::connection_lost, "m"}};
    BOOST_TEST(http_status(it) == 504U);
    BOOST_TEST(parsed(format_outcome({"r"}, it)).at("outcome").as_string() ==
               "unknown");
    for (int n = 0; n <= static_cast<int>(core::error_kind::internal); ++n)
    {
        const auto status = http_status(static_cast<core::error_kind>(n));
        BOOST_TEST(((status >= 400 && status < 500) || status == 503));
    }
}

BOOST_AUTO_TEST_SUITE_END()
