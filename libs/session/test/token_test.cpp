#include "godwitbarrow/session/token.hpp"

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>
#include <variant>

using namespace godwitbarrow;
using namespace godwitbarrow::session;

namespace
{

token arbitrary_token()
{
    token result;
    const auto names = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty(rc::gen::string<std::string>()));
    for (const auto& name : names)
        if (result.positions.size() < max_token_groups)
            advance(result, {name.substr(0, 8)},
                    {*rc::gen::arbitrary<std::uint64_t>(),
                     *rc::gen::arbitrary<std::uint64_t>()});
    return result;
}

core::error_kind error_of(const core::result<token>& parsed)
{
    return std::get<core::error>(parsed).kind;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_caller_carries_a_token)

// Guards against a session losing its position when it moves to another proxy.
BOOST_AUTO_TEST_CASE(encoding_and_parsing_gives_the_same_token)
{
    BOOST_TEST(rc::check(
        []
        {
            const auto original = arbitrary_token();
            const auto text = encode(original);
            RC_PRE(core::ok(text));
            const auto decoded = parse_token(std::get<std::string>(text));
            RC_ASSERT(core::ok(decoded));
            RC_ASSERT(std::get<token>(decoded) == original);
        }));
}

// Guards against a session going back to an older position after it has used
// two proxies.
BOOST_AUTO_TEST_CASE(merging_keeps_the_newest_position_of_each_group)
{
    BOOST_TEST(rc::check(
        []
        {
            const auto a = arbitrary_token();
            const auto b = arbitrary_token();
            const auto merged = merge(a, b);
            RC_ASSERT(merged == merge(b, a));
            for (const auto& source : {a, b})
                for (const auto& [group, at] : source.positions)
                    RC_ASSERT(!(position_in(merged, group) < at));
        }));
}

BOOST_AUTO_TEST_CASE(a_newer_term_takes_precedence_over_a_higher_position)
{
    token value;
    advance(value, {"quotes"}, {2, 5});
    advance(value, {"quotes"}, {1, 90});
    BOOST_TEST((position_in(value, {"quotes"}) == core::log_position{2, 5}));
    BOOST_TEST(!position_in(value, {"rights"}));
}

BOOST_AUTO_TEST_SUITE(and_sends_invalid_text)

BOOST_AUTO_TEST_CASE(text_that_is_not_a_token_is_malformed)
{
    for (const auto* text : {"q", "q:1", ":1:2", "q:x:2", "q:1:", "q:1:2;;",
                             "%:1:2", "q:1:2:3", "q:-1:2"})
        BOOST_TEST((error_of(parse_token(text)) ==
                    core::error_kind::malformed_request));
}

// Guards against memory use that a caller controls.
BOOST_AUTO_TEST_CASE(text_that_exceeds_a_limit_is_too_large)
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
