#include "godwitbarrow/session/token.hpp"

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>
#include <variant>

using namespace godwitbarrow;
using namespace godwitbarrow::session;

namespace
{

token any_token()
{
    token it;
    const auto names = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty(rc::gen::string<std::string>()));
    for (const auto& name : names)
        if (it.positions.size() < max_token_groups)
            advance(it, {name.substr(0, 8)},
                    {*rc::gen::arbitrary<std::uint64_t>(),
                     *rc::gen::arbitrary<std::uint64_t>()});
    return it;
}

core::error_kind error_of(const core::result<token>& it)
{
    return std::get<core::error>(it).kind;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_caller_carries_a_token)

// Guards against a session that loses its position between two proxies.
BOOST_AUTO_TEST_CASE(it_survives_the_way_through_text)
{
    BOOST_TEST(rc::check(
        []
        {
            const auto it = any_token();
            const auto text = encode(it);
            RC_PRE(core::ok(text));
            const auto back = parse_token(std::get<std::string>(text));
            RC_ASSERT(core::ok(back));
            RC_ASSERT(std::get<token>(back) == it);
        }));
}

// Guards against a session that goes back after it met two proxies.
BOOST_AUTO_TEST_CASE(merging_takes_the_newest_position_of_each_group)
{
    BOOST_TEST(rc::check(
        []
        {
            const auto a = any_token();
            const auto b = any_token();
            const auto both = merge(a, b);
            RC_ASSERT(both == merge(b, a));
            for (const auto& part : {a, b})
                for (const auto& [group, at] : part.positions)
                    RC_ASSERT(!(position_in(both, group) < at));
        }));
}

BOOST_AUTO_TEST_CASE(a_newer_term_counts_more_than_a_higher_position)
{
    token it;
    advance(it, {"quotes"}, {2, 5});
    advance(it, {"quotes"}, {1, 90});
    BOOST_TEST((position_in(it, {"quotes"}) == core::log_position{2, 5}));
    BOOST_TEST(!position_in(it, {"rights"}));
}

BOOST_AUTO_TEST_SUITE(and_sends_nonsense)

BOOST_AUTO_TEST_CASE(text_that_is_no_token_is_malformed)
{
    for (const auto* text : {"q", "q:1", ":1:2", "q:x:2", "q:1:", "q:1:2;;",
                             "%:1:2", "q:1:2:3", "q:-1:2"})
        BOOST_TEST((error_of(parse_token(text)) ==
                    core::error_kind::malformed_request));
}

// Guards against memory that a caller controls.
BOOST_AUTO_TEST_CASE(text_past_a_bound_is_too_large)
{
    std::string text;
    for (std::size_t n = 0; n <= max_token_groups; ++n)
        text += "g" + std::to_string(n) + ":1:1;";
    BOOST_TEST(
        (error_of(parse_token(text)) == core::error_kind::request_too_large));
    BOOST_TEST((error_of(parse_token(std::string(max_token_bytes + 1, 'a'))) ==
                core::error_kind::request_too_large));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
