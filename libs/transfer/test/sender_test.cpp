#include "godwitbarrow/transfer/sender.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

using namespace godwitbarrow;
using namespace std::chrono_literals;

namespace
{

/// A host with one content of three chunks that others ask for.
struct sending_host
{
    transfer::sender it;
    core::time_point now{1h};
    std::map<std::string, transfer::content_ptr> contents;
    std::vector<transfer::outgoing> sent;

    sending_host()
    {
        it.limits.chunk_bytes = 4;
        set("text", {1, 1}, "aaaabbbbcc");
    }

    void set(const std::string& name, transfer::revision at,
             const std::string& bytes)
    {
        contents[name] = std::make_shared<const transfer::content>(
            transfer::content{at, bytes});
    }

    transfer::content_source source() const
    {
        return [this](const std::string& name)
        {
            const auto n = contents.find(name);
            return n == contents.end() ? nullptr : n->second;
        };
    }

    void ask(const std::string& from, std::uint64_t offset = 0,
             transfer::revision at = {1, 1}, const std::string& name = "text")
    {
        sent = transfer::take_request(it, {from}, {name, at, offset}, source(),
                                      now);
    }

    void finish(const std::string& from)
    {
        sent = transfer::take_finished(it, {from}, {"text"}, source(), now);
    }

    void lose(const std::string& host)
    {
        sent = transfer::lose_receiver(it, {host}, source(), now);
    }

    void pass(std::chrono::milliseconds time)
    {
        now += time;
        sent = transfer::expire(it, source(), now);
    }

    /// The hosts that chunks were sent to, joined.
    std::string served() const
    {
        std::string out;
        for (const auto& n : sent)
            if (std::holds_alternative<transfer::chunk>(n.what))
                out += n.to.value;
        return out;
    }

    bool told_to_wait(const std::string& host) const
    {
        return std::any_of(
            sent.begin(), sent.end(),
            [&](const auto& n)
            {
                return n.to.value == host &&
                       std::holds_alternative<transfer::queued>(n.what);
            });
    }

    transfer::chunk only_chunk() const
    {
        BOOST_REQUIRE(sent.size() == 1U);
        const auto* out = std::get_if<transfer::chunk>(&sent[0].what);
        BOOST_REQUIRE(out);
        return *out;
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_sender_of_contents)

BOOST_FIXTURE_TEST_SUITE(to_one_host, sending_host)

// Guards against a content that arrives with a part missing or twice.
BOOST_AUTO_TEST_CASE(sends_the_next_chunk_on_each_request)
{
    std::string got;
    for (int n = 0; n < 3; ++n)
    {
        ask("a", got.size());
        const auto chunk = only_chunk();
        BOOST_TEST(chunk.offset == got.size());
        BOOST_TEST(chunk.size == 10U);
        BOOST_TEST(chunk.bytes.size() <= it.limits.chunk_bytes);
        got += chunk.bytes;
    }
    BOOST_TEST(got == "aaaabbbbcc");
}

// Guards against a host that waits for the end of a content without bytes.
BOOST_AUTO_TEST_CASE(sends_an_empty_content_as_one_chunk)
{
    set("text", {1, 2}, "");
    ask("a");
    BOOST_TEST(only_chunk().size == 0U);
    BOOST_TEST(only_chunk().bytes == "");
}

// Guards against a host without the content that holds a place of others, and
// against a receiver that waits for it.
BOOST_AUTO_TEST_CASE(refuses_what_it_lacks)
{
    ask("a", 0, {1, 1}, "rows");
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(std::holds_alternative<transfer::finished>(sent[0].what));
    BOOST_TEST(it.served.empty());
    BOOST_TEST(it.waiting.empty());
    BOOST_TEST(!transfer::next_expiry(it));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(to_many_hosts, sending_host)

// Guards against a full interface before which heartbeats wait (LOST).
BOOST_AUTO_TEST_CASE(has_chunks_under_way_to_two_at_most)
{
    unsigned chunks = 0;
    for (const auto* host : {"a", "b", "c", "d", "e", "f", "g", "h"})
    {
        ask(host);
        chunks += served().size();
        BOOST_TEST(told_to_wait(host) == !it.waiting.empty());
    }
    BOOST_TEST(chunks == 2U);
    BOOST_TEST(it.served.size() == 2U);
    BOOST_TEST(it.waiting.size() == 6U);
}

// Guards against a host that is passed over each time another one asks.
BOOST_AUTO_TEST_CASE(serves_them_in_the_order_in_which_they_asked)
{
    for (const auto* host : {"d", "b", "c", "a"})
        ask(host);
    finish("b");
    BOOST_TEST(served() == "c");
    finish("d");
    BOOST_TEST(served() == "a");
}

// Guards against a host that is served twice at once because it asked twice.
BOOST_AUTO_TEST_CASE(keeps_one_place_for_a_host_that_asks_again)
{
    for (const auto* host : {"a", "b", "c", "c", "d"})
        ask(host);
    BOOST_TEST(it.waiting.size() == 2U);
    finish("a");
    BOOST_TEST(served() == "c");
    finish("b");
    BOOST_TEST(served() == "d");
}

// Guards against chunks for a host that has the content from elsewhere.
BOOST_AUTO_TEST_CASE(passes_over_one_that_no_longer_waits)
{
    for (const auto* host : {"a", "b", "c", "d"})
        ask(host);
    finish("c");
    BOOST_TEST(sent.empty());
    finish("a");
    BOOST_TEST(served() == "d");
}

BOOST_AUTO_TEST_SUITE(of_which_one_stops)

// Guards against hosts that wait for ever behind a stalled one.
BOOST_AUTO_TEST_CASE(gives_the_place_of_a_silent_one_to_the_next)
{
    ask("a");
    now += 400ms;
    for (const auto* host : {"b", "c"})
        ask(host);
    BOOST_TEST((transfer::next_expiry(it) == now + 600ms));
    pass(599ms);
    BOOST_TEST(served() == "");
    pass(1ms);
    BOOST_TEST(served() == "c");
}

// Guards against a place that is taken from a host that takes its chunks.
BOOST_AUTO_TEST_CASE(lets_one_that_asks_on_keep_its_place)
{
    for (const auto* host : {"a", "b", "c"})
        ask(host);
    now += 900ms;
    ask("a", 4);
    pass(100ms);
    BOOST_TEST(served() == "c");
    BOOST_TEST(it.served.front().to.value == "a");
}

// Guards against a place that a closed link keeps.
BOOST_AUTO_TEST_CASE(gives_the_place_of_a_lost_one_to_the_next)
{
    for (const auto* host : {"a", "b", "c"})
        ask(host);
    lose("b");
    BOOST_TEST(served() == "c");
}

// Guards against a chunk for a host whose link is closed.
BOOST_AUTO_TEST_CASE(forgets_that_a_lost_one_waits)
{
    for (const auto* host : {"a", "b", "c"})
        ask(host);
    lose("c");
    finish("a");
    BOOST_TEST(sent.empty());
}

// Guards against a content that is put together from two reads of a revision:
// the ages in it differ.
BOOST_AUTO_TEST_CASE(begins_anew_for_one_that_returns)
{
    ask("a");
    pass(1s);
    ask("a", 4);
    BOOST_TEST(only_chunk().offset == 0U);
    BOOST_TEST(only_chunk().bytes == "aaaa");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(of_a_content_that_changes, sending_host)

// Guards against a content that is put together from two revisions.
BOOST_AUTO_TEST_CASE(sends_it_as_it_was_at_the_begin)
{
    ask("a");
    set("text", {1, 2}, "ddddeeeeffff");
    ask("a", 4);
    BOOST_TEST((only_chunk().at == transfer::revision{1, 1}));
    BOOST_TEST(only_chunk().bytes == "bbbb");
}

// Guards against an old revision for hosts that asked before a change.
BOOST_AUTO_TEST_CASE(sends_the_newest_to_one_that_waited)
{
    for (const auto* host : {"a", "b", "c"})
        ask(host);
    set("text", {1, 2}, "dddd");
    finish("a");
    BOOST_TEST((only_chunk().at == transfer::revision{1, 2}));
    BOOST_TEST(only_chunk().bytes == "dddd");
}

// Guards against the end of one revision behind the begin of another.
BOOST_AUTO_TEST_CASE(begins_anew_on_a_request_for_another_revision)
{
    ask("a", 4, {1, 0});
    BOOST_TEST(only_chunk().offset == 0U);
    BOOST_TEST((only_chunk().at == transfer::revision{1, 1}));
}

// Guards against the same version number of a store that was restored.
BOOST_AUTO_TEST_CASE(begins_anew_on_a_request_for_another_era)
{
    ask("a", 4, {2, 1});
    BOOST_TEST(only_chunk().offset == 0U);
}

// Guards against a read behind the end of the content.
BOOST_AUTO_TEST_CASE(begins_anew_on_a_request_behind_its_end)
{
    for (const std::uint64_t offset : {std::uint64_t{10}, ~std::uint64_t{0}})
    {
        ask("a", offset);
        BOOST_TEST(only_chunk().offset == 0U);
        BOOST_TEST(only_chunk().bytes == "aaaa");
    }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
