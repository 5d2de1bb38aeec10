#include "godwitbarrow/store/codec.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::store;
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

// Guards against a name that changes the path of another row.
BOOST_AUTO_TEST_CASE(names_are_percent_encoded)
{
    BOOST_TEST(row_path("groups", "a/b ?") == "/table/groups/a%2Fb%20%3F");
    BOOST_TEST(object_path("\xC3\xA9") == "/objects/%C3%A9");
}

BOOST_AUTO_TEST_CASE(a_write_names_the_expected_version)
{
    BOOST_TEST(encode_row_write("a\"b", 3) ==
               R"({"value":"a\"b","expected_version":3})");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_is_decoded)

BOOST_AUTO_TEST_CASE(a_row_has_a_value_and_a_version)
{
    const auto r = decode_row(200, R"({"value":"v","version":7})");
    BOOST_TEST(std::get<versioned_value>(r).value == "v");
    BOOST_TEST(std::get<versioned_value>(r).version == 7);
}

BOOST_AUTO_TEST_CASE(a_host_list_has_kinds_and_states)
{
    const auto r = decode_hosts(
        200, R"({"version":3,"hosts":[{"name":"d","state":"leaving",)"
             R"("kind":"backend_server"}]})");
    BOOST_TEST(std::get<host_list>(r).version == 3U);
    const auto& h = std::get<host_list>(r).entries.at(0);
    BOOST_TEST(h.name == "d");
    BOOST_TEST((h.kind == host_kind::backend_server));
    BOOST_TEST((h.state == host_state::leaving));
}

BOOST_AUTO_TEST_SUITE(and_it_is_an_error)

// Guards against a lost race that looks like an outage, or the reverse.
BOOST_AUTO_TEST_CASE(the_code_gives_the_kind)
{
    BOOST_TEST((kind_of(decode_row(404, "{}")) == error_kind::not_found));
    BOOST_TEST((kind_of(decode_version(409, "{}")) == error_kind::conflict));
    BOOST_TEST(
        (kind_of(decode_version(503, "{}")) == error_kind::store_unavailable));
    BOOST_TEST(
        (kind_of(decode_object(400, "x")) == error_kind::protocol_error));
}

// Guards against a malformed answer that ends the process.
BOOST_AUTO_TEST_CASE(a_malformed_body_is_a_protocol_error)
{
    for (const char* body :
         {"", "[", "[]", "{}", R"({"value":1,"version":1})",
          R"({"value":"v","version":-1})", R"({"value":"v","version":"1"})"})
        BOOST_TEST(
            (kind_of(decode_row(200, body)) == error_kind::protocol_error));
    const auto* hosts =
        R"({"version":1,"hosts":[{"name":"h","kind":"x","state":"live"}]})";
    BOOST_TEST(
        (kind_of(decode_hosts(200, hosts)) == error_kind::protocol_error));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
