#include "godwitbarrow/standins/database_messages.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::standins;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(members_exchange_messages)

// Guards against fields of an entry that are lost on the way to a replica.
BOOST_AUTO_TEST_CASE(a_pull_and_its_reply_keep_all_fields)
{
    const auto request =
        decode_pull(encode_pull({3, 2, {{1, 4}, {2, 9}}, 7ms}));
    BOOST_TEST(request.term == 3);
    BOOST_TEST(request.log_term == 2);
    BOOST_TEST((request.spans == std::vector<log_span>{{1, 4}, {2, 9}}));
    BOOST_TEST((request.lag == 7ms));
    const pull_reply sent{true, 3, 9, 8, {{2, {"put k v"}, "id", {"r"}, {}}}};
    const auto reply = decode_pull_reply(encode_pull_reply(sent));
    BOOST_TEST(reply.accepted);
    BOOST_TEST(reply.base == 9);
    BOOST_TEST(reply.common == 8);
    const auto& e = reply.entries.at(0);
    BOOST_TEST(e.term == 2);
    BOOST_TEST(e.changes == sent.entries[0].changes);
    BOOST_TEST(e.key == "id");
    BOOST_TEST(e.rows == sent.entries[0].rows);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_test_sets_faults)

// Guards against a fault that ends because another one is set.
BOOST_AUTO_TEST_CASE(a_field_that_is_absent_leaves_its_fault_as_it_is)
{
    const auto f = decode_database_faults(R"({"lag_ms":5,"cut_links":false})");
    BOOST_TEST((f.lag == 5ms));
    BOOST_TEST((f.cut_links == false));
    BOOST_TEST(!f.pause_replication.has_value());
    BOOST_TEST(!f.delay.has_value());
    BOOST_TEST(!f.silence_connections);
}

BOOST_AUTO_TEST_SUITE_END()
