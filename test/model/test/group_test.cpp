#include "godwitbarrow/model/group.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::model;
using namespace std::chrono_literals;
using pooler::failure_code;
using pooler::verb;

namespace
{

struct world
{
    group all = make_group("quotes", {"a", "b"});
    core::time_point now{100s};
    session_number on_a = open_session(all, {"a"});
    session_number on_b = open_session(all, {"b"});

    pooler::answer query(session_number on, verb kind, std::string text = {},
                         std::optional<core::log_position> after = {})
    {
        const auto out =
            execute(all, on, {{"q"}, {kind, {}, false, text}, after}, now);
        BOOST_REQUIRE(out.answer);
        return *out.answer;
    }

    std::string read(session_number on)
    {
        return query(on, verb::read, "READ 1").rows.at(0);
    }

    bool fails(const pooler::answer& a, failure_code with)
    {
        const auto* f = failure_of(a);
        return f != nullptr && f->code == with;
    }

    void pass(std::chrono::milliseconds time)
    {
        now += time;
        advance(all, now);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_group, world)

BOOST_AUTO_TEST_CASE(replicates_after_its_lag)
{
    query(on_a, verb::write, "WRITE 1 x");
    pass(59ms);
    BOOST_TEST(read(on_b) == "none");
    BOOST_TEST(fails(query(on_b, verb::read, "READ 1", {{1, 1}}),
                     failure_code::lagging));
    pass(1ms);
    BOOST_TEST(read(on_b) == "x");
    BOOST_TEST(!failure_of(query(on_b, verb::read, "READ 1", {{1, 1}})));
}

BOOST_AUTO_TEST_CASE(takes_writes_and_plain_transactions_at_the_primary_only)
{
    BOOST_TEST(
        fails(query(on_b, verb::write, "WRITE 1 x"), failure_code::read_only));
    BOOST_TEST(fails(query(on_b, verb::begin), failure_code::read_only));
    BOOST_TEST(!failure_of(query(on_b, verb::begin_read)));
}

BOOST_AUTO_TEST_SUITE(whose_replica_is_promoted)

BOOST_AUTO_TEST_CASE(drops_what_the_replica_had_not_received)
{
    query(on_a, verb::write, "WRITE 1 x");
    BOOST_TEST(order_promotion(all, {"b"}, now));
    all.members.at({"b"}).receives = false;
    pass(600ms);
    BOOST_TEST(leads(all, {"b"}));
    pass(60ms);
    BOOST_TEST(read(on_a) == "none");
    BOOST_TEST(position_of(all.members.at({"a"})) ==
               (core::log_position{2, 0}));
}

BOOST_AUTO_TEST_CASE(fails_transactions_of_the_old_primary)
{
    query(on_a, verb::begin);
    query(on_a, verb::write, "WRITE 1 x");
    order_promotion(all, {"b"}, now);
    pass(600ms);
    BOOST_TEST(fails(query(on_a, verb::commit), failure_code::read_only));
    BOOST_TEST(read(on_b) == "none");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_led_again_by_a_primary_that_stepped_down)
{
    step_down(all, {"a"}, 2);
    BOOST_TEST(!leads(all, {"a"}));
    BOOST_TEST(order_promotion(all, {"a"}, now));
    pass(600ms);
    BOOST_TEST(leads(all, {"a"}));
    BOOST_TEST(all.term == 2U);
}

BOOST_AUTO_TEST_CASE(acknowledges_synchronous_commits_once_a_replica_has_them)
{
    all.synchronous_replicas = 1;
    query(on_a, verb::write, "WRITE 1 x");
    BOOST_TEST(read(on_b) == "x");
    all.members.at({"b"}).receives = false;
    const auto out = execute(
        all, on_a, {{"q"}, {verb::write, {}, true, "WRITE 1 y"}, {}}, now);
    BOOST_TEST(!out.answer);
}

BOOST_AUTO_TEST_SUITE_END()
