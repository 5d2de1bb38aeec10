#include "godwitbarrow/transfer/receiver.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace godwitbarrow;
using namespace std::chrono_literals;
using transfer::distance;

namespace
{

/// A host that fetches contents, with what it has sent last.
struct receiving_host
{
    transfer::receiver it;
    core::time_point now{1h};
    std::vector<transfer::outgoing> sent;
    std::optional<transfer::arrived_content> arrived;
    /// The fetch that a late chunk replies to; the last one if absent.
    std::optional<std::uint64_t> late_fetch;

    receiving_host()
    {
        it.self = {"self"};
    }

    void want(const std::string& name, const std::string& from,
              distance away = distance::same_data_centre,
              transfer::revision at = {1, 1})
    {
        sent = transfer::want(it, name, {from}, {away, at}, now);
    }

    void take(const std::string& from, const std::string& bytes,
              std::uint64_t offset = 0, std::uint64_t size = 8,
              transfer::revision at = {1, 1}, const std::string& name = "text")
    {
        const auto fetch = late_fetch.value_or(it.fetches);
        auto got = transfer::take_chunk(
            it, {from}, {name, at, size, offset, bytes, fetch}, now);
        sent = std::move(got.to_send);
        arrived = std::move(got.arrived);
    }

    void take_queued(const std::string& from)
    {
        transfer::take_queued(it, {from}, {"text", it.fetches}, now);
    }

    void lose(const std::string& host)
    {
        sent = transfer::lose_sender(it, {host}, now);
    }

    void pass(std::chrono::milliseconds time)
    {
        now += time;
        sent = transfer::expire(it, now);
    }

    void cancel(const std::string& name = "text")
    {
        sent = transfer::forget_satisfied(
            it, name, [](const auto&) { return false; }, now);
    }

    /// What was sent, as "host request name offset", joined.
    std::string messages() const
    {
        std::string out;
        for (const auto& n : sent)
        {
            out += out.empty() ? "" : ", ";
            out += n.to.value + describe(n.what);
        }
        return out;
    }

private:
    static std::string describe(const transfer::message& what)
    {
        if (const auto* n = std::get_if<transfer::request>(&what))
            return " request " + n->name + " " + std::to_string(n->offset);
        if (const auto* n = std::get_if<transfer::finished>(&what))
            return " finished " + n->name;
        return " other";
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_receiver_of_contents)

BOOST_FIXTURE_TEST_SUITE(from_one_host, receiving_host)

// Guards against bytes that are lost, doubled or delivered before the end.
BOOST_AUTO_TEST_CASE(asks_for_each_chunk_and_delivers_the_whole)
{
    want("text", "a");
    BOOST_TEST(messages() == "a request text 0");
    take("a", "1234");
    BOOST_TEST(messages() == "a request text 4");
    BOOST_TEST(!arrived);
    take("a", "5678", 4);
    BOOST_TEST(messages() == "a finished text");
    BOOST_REQUIRE(arrived);
    BOOST_TEST(arrived->what.bytes == "12345678");
    BOOST_TEST((arrived->what.at == transfer::revision{1, 1}));
    BOOST_TEST(arrived->from.value == "a");
    BOOST_TEST(!transfer::next_expiry(it));
}

// Guards against an empty content that is asked for without end.
BOOST_AUTO_TEST_CASE(delivers_a_content_without_bytes)
{
    want("text", "a");
    take("a", "", 0, 0);
    BOOST_REQUIRE(arrived);
    BOOST_TEST(arrived->what.bytes == "");
}

// Guards against a link that is filled by copies of several contents at once.
BOOST_AUTO_TEST_CASE(fetches_one_content_at_a_time)
{
    want("text", "a");
    want("rows", "a");
    want("rows", "b");
    BOOST_TEST(messages() == "");
    take("a", "12345678");
    BOOST_TEST(sent.size() == 2U);
    BOOST_TEST((messages() == "a finished text, a request rows 0" ||
                messages() == "a finished text, b request rows 0"));
}

// Guards against a content that is put together from two revisions.
BOOST_AUTO_TEST_CASE(begins_anew_with_another_revision)
{
    want("text", "a");
    take("a", "1234");
    take("a", "abcd", 0, 8, {1, 2});
    BOOST_TEST(messages() == "a request text 4");
    take("a", "efgh", 4, 8, {1, 2});
    BOOST_REQUIRE(arrived);
    BOOST_TEST(arrived->what.bytes == "abcdefgh");
    BOOST_TEST((arrived->what.at == transfer::revision{1, 2}));
}

// Guards against a content that a fault of another host leaves with a gap.
BOOST_AUTO_TEST_CASE(gives_up_a_host_whose_chunk_does_not_follow)
{
    want("text", "a");
    take("a", "1234");
    take("a", "78", 6);
    BOOST_TEST(messages() == "a finished text");
    BOOST_TEST(!arrived);
    BOOST_TEST(it.wanted.empty());
}

// Guards against a host that uses up the memory of another one.
BOOST_AUTO_TEST_CASE(gives_up_a_host_whose_content_is_too_large)
{
    it.limits.content_bytes = 7;
    want("text", "a");
    take("a", "1234");
    BOOST_TEST(messages() == "a finished text");
    BOOST_TEST(!it.current);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(from_several_hosts, receiving_host)

// Guards against bytes that cross regions although a near host has them.
BOOST_AUTO_TEST_CASE(asks_the_nearest)
{
    want("rows", "z");
    want("text", "a", distance::far);
    want("text", "b", distance::same_region);
    want("text", "c", distance::same_data_centre);
    want("text", "d", distance::same_region);
    take("z", "", 0, 0, {1, 1}, "rows");
    BOOST_TEST(messages() == "z finished rows, c request text 0");
}

// Guards against a wait for a far host while a near one has the content.
BOOST_AUTO_TEST_CASE(turns_to_a_nearer_one_that_has_it_too)
{
    want("text", "a", distance::far);
    want("text", "b", distance::same_data_centre);
    BOOST_TEST(messages() == "a finished text, b request text 0");
}

// Guards against bytes that are fetched twice.
BOOST_AUTO_TEST_CASE(stays_with_one_that_has_begun_to_send)
{
    want("text", "a", distance::far);
    take("a", "1234");
    want("text", "b", distance::same_data_centre);
    BOOST_TEST(messages() == "");
}

// Guards against hosts that all wait for one while others are free.
BOOST_AUTO_TEST_CASE(turns_to_another_if_the_first_serves_others_before)
{
    want("text", "a");
    want("text", "b");
    BOOST_TEST(messages() == "");
    take_queued("a");
    want("text", "b");
    BOOST_TEST(messages() == "a finished text, b request text 0");
}

// Guards against a transfer that ends with the host that it came from.
BOOST_AUTO_TEST_CASE(turns_to_another_if_the_first_is_lost)
{
    want("text", "a");
    want("text", "b");
    take("a", "1234");
    lose("a");
    BOOST_TEST(messages() == "b request text 0");
    take("b", "12345678");
    BOOST_REQUIRE(arrived);
    BOOST_TEST(arrived->what.bytes == "12345678");
}

// Guards against requests to a host whose link is closed.
BOOST_AUTO_TEST_CASE(does_not_turn_to_a_lost_one)
{
    want("text", "a");
    want("text", "b");
    lose("b");
    lose("a");
    BOOST_TEST(messages() == "");
    BOOST_TEST(it.wanted.empty());
}

BOOST_AUTO_TEST_SUITE(of_which_one_is_silent)

// Guards against a transfer that stops with a stalled host.
BOOST_AUTO_TEST_CASE(turns_to_another)
{
    want("text", "a");
    want("text", "b");
    BOOST_TEST((transfer::next_expiry(it) == now + 1s));
    pass(999ms);
    BOOST_TEST(messages() == "");
    pass(1ms);
    BOOST_TEST(messages() == "a finished text, b request text 0");
}

// Guards against a slow host that is given up while it sends.
BOOST_AUTO_TEST_CASE(waits_on_while_chunks_come)
{
    want("text", "a");
    want("text", "b");
    pass(900ms);
    take("a", "1234");
    pass(900ms);
    BOOST_TEST(messages() == "");
}

// Guards against a place in the queue of a busy host that is given up early.
BOOST_AUTO_TEST_CASE(waits_longer_for_one_that_serves_others_first)
{
    want("text", "a");
    take_queued("a");
    pass(3999ms);
    BOOST_TEST(messages() == "");
    pass(1ms);
    BOOST_TEST(messages() == "a finished text");
}

// Guards against a late chunk that is added to those of another host.
BOOST_AUTO_TEST_CASE(takes_no_chunk_of_it_any_more)
{
    want("text", "a");
    want("text", "b");
    pass(1s);
    take("a", "12345678");
    BOOST_TEST(messages() == "");
    BOOST_TEST(!arrived);
    BOOST_TEST(it.current->from.value == "b");
}

// Guards against a content that is never fetched because all were silent once.
BOOST_AUTO_TEST_CASE(asks_it_again_when_it_offers_the_content_again)
{
    want("text", "a");
    pass(1s);
    BOOST_TEST(messages() == "a finished text");
    want("text", "a");
    BOOST_TEST(messages() == "a request text 0");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(of_what_is_no_longer_needed, receiving_host)

// Guards against a host that sends to one which has the content already.
BOOST_AUTO_TEST_CASE(tells_the_host_that_it_asked)
{
    want("text", "a");
    take("a", "1234");
    cancel();
    BOOST_TEST(messages() == "a finished text");
    take("a", "5678", 4);
    BOOST_TEST(messages() == "");
    BOOST_TEST(!arrived);
}

// Guards against requests for a content that came by other means.
BOOST_AUTO_TEST_CASE(asks_nobody)
{
    want("rows", "a");
    want("text", "b");
    cancel();
    BOOST_TEST(messages() == "");
    take("a", "", 0, 0, {1, 1}, "rows");
    BOOST_TEST(messages() == "a finished rows");
    lose("a");
    BOOST_TEST(messages() == "");
}

// Guards against contents that are not fetched after one that was cancelled.
BOOST_AUTO_TEST_CASE(goes_on_with_the_next)
{
    want("text", "a");
    want("rows", "b");
    cancel();
    BOOST_TEST(messages() == "a finished text, b request rows 0");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a bounded-stale read from a copy that is older than it seems.
BOOST_FIXTURE_TEST_SUITE(never_makes_a_content_younger, receiving_host)

BOOST_AUTO_TEST_CASE(by_the_wait_for_a_place)
{
    want("text", "a");
    now += 500ms;
    take_queued("a");
    now += 2s;
    take("a", "1234");
    now += 300ms;
    take("a", "5678", 4);
    BOOST_REQUIRE(arrived);
    BOOST_TEST((arrived->age >= 2800ms));
}

// The sender may have read the other revision before its first chunk left.
BOOST_AUTO_TEST_CASE(by_a_new_beginning)
{
    want("text", "a");
    now += 500ms;
    take("a", "1234");
    now += 500ms;
    take("a", "12345678", 0, 8, {1, 2});
    BOOST_REQUIRE(arrived);
    BOOST_TEST((arrived->age >= 1s));
}

// A host that was asked in place of another reads the content only then.
BOOST_AUTO_TEST_CASE(by_a_change_of_the_host)
{
    want("text", "a");
    want("text", "b");
    now += 500ms;
    lose("a");
    now += 700ms;
    take("b", "12345678");
    BOOST_REQUIRE(arrived);
    BOOST_TEST((arrived->age >= 700ms));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against the answer to an earlier request, late on a slow link, that is
// taken for the answer to a newer one: it was read before the newer was sent.
BOOST_FIXTURE_TEST_SUITE(never_makes_a_late_chunk_younger, receiving_host)

BOOST_AUTO_TEST_CASE(of_a_host_that_was_given_up_and_is_asked_again)
{
    want("text", "a");
    late_fetch = it.fetches;
    pass(1s);
    want("text", "a");
    now += 100ms;
    take("a", "12345678");
    BOOST_TEST((!arrived || arrived->age >= 1100ms));
}

BOOST_AUTO_TEST_CASE(of_a_content_that_was_cancelled_and_is_needed_again)
{
    want("text", "a");
    late_fetch = it.fetches;
    now += 300ms;
    cancel();
    want("text", "a");
    now += 100ms;
    take("a", "12345678");
    BOOST_TEST((!arrived || arrived->age >= 400ms));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
