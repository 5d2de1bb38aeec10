#include "godwitbarrow/relay/send_queue.hpp"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace godwitbarrow;
using relay::item_kind;

namespace
{

constexpr std::size_t long_bytes = std::size_t{1024} * 1024;
constexpr auto no_bound = std::numeric_limits<std::size_t>::max();

relay::item answer(std::uint64_t session, std::string bytes)
{
    return {item_kind::answer, session, std::move(bytes), false, true};
}

/// A queue with a long answer for session 1.
struct long_answer
{
    relay::send_queue queue;
    const std::string text = make_text();

    long_answer()
    {
        push(queue, answer(1, text));
    }

    static std::string make_text()
    {
        std::string out;
        for (std::size_t n = 0; out.size() < long_bytes; ++n)
            out += std::to_string(n) + ' ';
        return out;
    }

    /// Takes all in turns of this size.
    std::vector<relay::item> drain(std::size_t budget)
    {
        std::vector<relay::item> out;
        while (!empty(queue))
            for (auto& n : take_next(queue, budget))
                out.push_back(std::move(n));
        return out;
    }
};

std::string join(const std::vector<relay::item>& all, std::uint64_t session)
{
    std::string out;
    for (const auto& it : all)
        if (it.session == session)
            out += it.bytes;
    return out;
}

std::size_t size_of(const std::vector<relay::item>& all)
{
    std::size_t out = 0;
    for (const auto& it : all)
        out += relay::approximate_size(it);
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(items_for_a_host)

BOOST_AUTO_TEST_SUITE(while_a_long_answer_waits)

// Guards against a link that is full of one answer.
BOOST_FIXTURE_TEST_CASE(stay_within_the_budget_by_one_item, long_answer)
{
    constexpr std::size_t budget = 100'000;
    const auto got = take_next(queue, budget);
    BOOST_TEST(size_of(got) >= budget);
    BOOST_TEST(size_of(got) < budget + relay::approximate_size(got.back()) + 1);
    BOOST_TEST(take_next(queue, 0).empty());
}

// Guards against an owner that is given up since its heartbeat answer waits.
BOOST_FIXTURE_TEST_CASE(go_without_a_budget_if_they_have_no_session,
                        long_answer)
{
    push(queue, relay::make_item(item_kind::heartbeat_answer));
    push(queue, relay::make_item(item_kind::draining));
    const auto got = take_next(queue, 0);
    BOOST_REQUIRE(got.size() == 2U);
    BOOST_TEST((got[0].kind == item_kind::heartbeat_answer));
    BOOST_TEST((got[1].kind == item_kind::draining));
}

// Guards against callers that wait for an answer of another session.
BOOST_FIXTURE_TEST_CASE(go_first_if_they_are_short, long_answer)
{
    push(queue, answer(2, "READY I -\r\n"));
    push(queue, relay::make_item(item_kind::close, 3));
    const auto got = take_next(queue, 1000);
    BOOST_REQUIRE(got.size() == 3U);
    BOOST_TEST(got[0].session == 2U);
    BOOST_TEST(got[1].session == 3U);
    BOOST_TEST(got[2].session == 1U);
}

// Guards against a long answer that is never sent beside many short ones.
BOOST_FIXTURE_TEST_CASE(leave_it_a_turn, long_answer)
{
    for (std::uint64_t n = 2; n < 1000; ++n)
        push(queue, answer(n, std::string(1000, 'x')));
    const auto got = take_next(queue, 2 * relay::max_bytes_ahead);
    BOOST_TEST(!join(got, 1).empty());
}

BOOST_FIXTURE_TEST_CASE(share_the_link_if_they_are_long_too, long_answer)
{
    push(queue, answer(2, text));
    const auto got = take_next(queue, 4 * relay::max_item_bytes);
    BOOST_TEST(join(got, 1).size() == join(got, 2).size());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against parts of two lines in one, and answers for the wrong
// statement.
BOOST_FIXTURE_TEST_CASE(keep_the_order_of_their_session, long_answer)
{
    push(queue, answer(1, "READY I 1\r\n"));
    push(queue, answer(2, text));
    push(queue, relay::make_item(item_kind::close, 1));
    push(queue, answer(2, "READY I 2\r\n"));
    const auto got = drain(10'000);
    BOOST_TEST((join(got, 1) == text + "READY I 1\r\n"));
    BOOST_TEST((join(got, 2) == text + "READY I 2\r\n"));
    BOOST_TEST(queue.bytes == 0U);
    BOOST_TEST(queue.short_turns.empty());
    BOOST_TEST(queue.long_turns.empty());
}

// Guards against the numbers of two hosts taken for one session.
BOOST_FIXTURE_TEST_CASE(of_both_directions_are_apart, long_answer)
{
    push(queue, {item_kind::line, 1, "READ 1", false, false});
    const auto got = take_next(queue, 1);
    BOOST_REQUIRE(got.size() == 1U);
    BOOST_TEST((got[0].kind == item_kind::line));
}

BOOST_AUTO_TEST_CASE(that_are_short_go_in_the_order_of_their_arrival)
{
    relay::send_queue queue;
    for (std::uint64_t n = 1; n < 100; ++n)
        push(queue, answer(n, "READY I -\r\n"));
    const auto got = take_next(queue, no_bound);
    BOOST_REQUIRE(got.size() == 99U);
    for (std::uint64_t n = 1; n < 100; ++n)
        BOOST_TEST(got[n - 1].session == n);
}

BOOST_AUTO_TEST_SUITE_END()
