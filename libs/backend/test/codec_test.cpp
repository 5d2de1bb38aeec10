#include "godwitbarrow/backend/codec.hpp"

#include <boost/test/unit_test.hpp>

#include "godwitbarrow/standins/database_messages.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::backend;
using core::error_kind;

namespace
{

template <class T>
error_kind kind_of(const core::result<T>& r)
{
    return std::get<core::error>(r).kind;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_call_is_encoded)

// Guards against fields that only this client and its stand-in agree on.
BOOST_AUTO_TEST_CASE(with_the_field_names_of_the_protocol)
{
    const statement_call c{{"r"},     4,     core::access_mode::write,
                           "put k v", false, core::idempotency_key{"i"}};
    BOOST_TEST(encode_call(c) ==
               R"({"request_id":"r","term":4,"access":"write",)"
               R"("statement":"put k v","transaction":false,)"
               R"("idempotency_key":"i"})");
    BOOST_TEST(encode_attempt(4, {"x"}) == R"({"term":4,"attempt":"x"})");
    BOOST_TEST(encode_follow(4, {"b"}) == R"({"term":4,"primary":"b"})");
    BOOST_TEST(status_path(5, std::chrono::milliseconds(20)) ==
               "/status?after=5&wait_ms=20");
}

BOOST_AUTO_TEST_CASE(and_a_server_reads_the_same_call)
{
    const statement_call c{{"r"}, 4, core::access_mode::commit, "", true, {}};
    const auto read = standins::decode_call(encode_call(c));
    BOOST_TEST(read.id == c.id);
    BOOST_TEST((read.access == c.access));
    BOOST_TEST(read.in_transaction);
    BOOST_TEST(!read.key.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_is_decoded)

// Guards against a refusal that is taken for an execution (P5).
BOOST_AUTO_TEST_CASE(every_status_of_a_reply_keeps_its_meaning)
{
    using core::reply_status;
    for (const auto status : {reply_status::executed, reply_status::wrong_term,
                              reply_status::not_primary, reply_status::rejected,
                              reply_status::busy})
    {
        const core::backend_reply sent{status, {"r"}, {2, 3}, {"row"}, "m"};
        const auto r = decode_reply(200, standins::encode_reply(sent));
        const auto& got = std::get<core::backend_reply>(r);
        BOOST_TEST((got.status == status));
        BOOST_TEST(got.id == sent.id);
        BOOST_TEST(got.at == sent.at);
        BOOST_TEST(got.rows == sent.rows);
        BOOST_TEST(got.message == sent.message);
    }
}

BOOST_AUTO_TEST_CASE(a_status_has_both_terms)
{
    const auto r = decode_status(
        200, R"({"term":3,"log_term":2,"position":9,"role":"replica",)"
             R"("primary_contact":false})");
    const auto& s = std::get<core::member_status>(r);
    BOOST_TEST(s.term == 3);
    BOOST_TEST(s.log_term == 2);
    BOOST_TEST(s.position == 9);
    BOOST_TEST((s.role == core::member_role::replica));
    BOOST_TEST(!s.primary_contact);
}

BOOST_AUTO_TEST_CASE(a_lookup_may_find_nothing)
{
    lookup_answer sent;
    sent.status.position = 4;
    auto r = decode_lookup(200, standins::encode_lookup_answer(sent));
    BOOST_TEST(!std::get<lookup_answer>(r).stored.has_value());
    sent.stored = core::backend_reply{{}, {}, {1, 2}, {"row"}, {}};
    r = decode_lookup(200, standins::encode_lookup_answer(sent));
    BOOST_TEST(std::get<lookup_answer>(r).stored->at == sent.stored->at);
    BOOST_TEST(std::get<lookup_answer>(r).status.position == 4);
}

BOOST_AUTO_TEST_SUITE(and_it_is_an_error)

BOOST_AUTO_TEST_CASE(the_code_gives_the_kind)
{
    BOOST_TEST((kind_of(decode_status(409, "x")) == error_kind::fenced));
    BOOST_TEST((kind_of(decode_status(503, "x")) == error_kind::no_connection));
    BOOST_TEST((kind_of(decode_reply(500, "x")) == error_kind::protocol_error));
}

// Guards against a malformed answer that ends the process.
BOOST_AUTO_TEST_CASE(a_malformed_body_is_a_protocol_error)
{
    for (const char* body :
         {"", "[]", "{}",
          R"({"status":"done","request_id":"r","term":1,"position":1,)"
          R"("rows":[],"message":""})",
          R"({"status":"executed","request_id":"r","term":1,"position":1,)"
          R"("rows":[1],"message":""})"})
        BOOST_TEST(
            (kind_of(decode_reply(200, body)) == error_kind::protocol_error));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
