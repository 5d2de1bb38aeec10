#include "godwitbarrow/workspaces/messages.hpp"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::workspaces;
using namespace std::chrono_literals;

namespace
{

template <class Message>
Message sent_and_received(const Message& it)
{
    const auto got = decode(encode(it));
    BOOST_REQUIRE(ok(got));
    const auto* out = std::get_if<Message>(&std::get<quota_message>(got));
    BOOST_REQUIRE(out);
    return *out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_message_about_quotas)

BOOST_AUTO_TEST_CASE(arrives_as_it_was_sent)
{
    BOOST_TEST(sent_and_received(share_request{2, 7}).round == 7U);
    const auto share = sent_and_received(share_grant{1, 8, 0.25});
    BOOST_TEST(share.group == 1);
    BOOST_TEST(share.share == 0.25);
    const auto wanted = sent_and_received(loan_request{{"clinics"}, 9, 4});
    BOOST_TEST(wanted.workspace.value == "clinics");
    BOOST_TEST(wanted.wanted == 4U);
    const auto lent = sent_and_received(loan_grant{{"clinics"}, 9, 3, 80ms});
    BOOST_TEST(lent.round == 9U);
    BOOST_TEST(lent.count == 3U);
    BOOST_TEST((lent.retry_after == 80ms));
}

// Guards against a lender that lends more than exists after a message with
// impossible numbers.
BOOST_AUTO_TEST_CASE(is_rejected_with_numbers_out_of_range)
{
    BOOST_TEST(!ok(decode(encode(share_request{lending_groups, 1}))));
    for (const double share : {-1.0, 0.0, 1.5})
        BOOST_TEST(!ok(decode(encode(share_grant{0, 1, share}))));
}

BOOST_AUTO_TEST_CASE(is_rejected_or_read_whatever_its_bytes)
{
    const auto holds = rc::check(
        [](const std::string& bytes)
        {
            decode(bytes);
            auto damaged = encode(loan_request{{"clinics"}, 9, 4});
            const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
            damaged[at] = *rc::gen::arbitrary<char>();
            decode(damaged);
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
