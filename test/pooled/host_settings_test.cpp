#include "pooled/host_settings.hpp"

#include <boost/test/unit_test.hpp>

using namespace godwitbarrow;
using namespace godwitbarrow::proxy::pooled;
using namespace std::chrono_literals;

namespace
{

const std::string valid = R"([host]
name = host-1
data_centre = north
workers = 1
[listen]
callers = 10.1.0.8:8784
readiness = 10.1.0.8:8785
readiness_path = /readyz
metrics = 10.1.0.8:7440
[store]
address = 10.200.1.7:8783
[promotions]
address = 10.200.0.160:8783
[shutdown]
grace = 6s
[members]
leaving_limit = 7000ms
)";

std::string with(const std::string& line, const std::string& other)
{
    auto out = valid;
    const auto at = out.find(line);
    BOOST_REQUIRE(at != std::string::npos);
    return out.replace(at, line.size(), other);
}

std::string error_of(const std::string& text)
{
    const auto parsed = parse_host_settings(text);
    BOOST_REQUIRE(!ok(parsed));
    return std::get<core::error>(parsed).message;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_settings_of_a_host)

BOOST_AUTO_TEST_CASE(are_read_from_its_file)
{
    const auto parsed = parse_host_settings(valid);
    BOOST_REQUIRE(ok(parsed));
    const auto& it = std::get<host_settings>(parsed);
    BOOST_TEST(it.name.value == "host-1");
    BOOST_TEST(it.data_centre.value == "north");
    BOOST_TEST(it.callers.port == 8784U);
    BOOST_TEST(it.readiness_path == "/readyz");
    BOOST_REQUIRE(it.metrics);
    BOOST_TEST(it.metrics->port == 7440U);
    BOOST_TEST((it.grace == 6s));
    BOOST_TEST((it.leaving_limit == 7s));
}

BOOST_AUTO_TEST_CASE(limit_callers_to_times_of_the_file)
{
    const auto given = parse_host_settings(
        with("[store]", "[callers]\nmessage_time = 7s\n[store]"));
    BOOST_REQUIRE(ok(given));
    const auto& it = std::get<host_settings>(given);
    BOOST_TEST((it.caller_message_time == 7s));
    BOOST_TEST((it.caller_startup_time == 10s));
    BOOST_TEST(error_of(with("[store]", "[callers]\nanswer_time = 7\n[store]"))
                   .find("callers.answer_time") == 0U);
}

// Guards against a host that does not start because its platform lacks a
// setting of the template and leaves the placeholder in place.
BOOST_AUTO_TEST_CASE(take_an_unfilled_placeholder_for_a_missing_key)
{
    const auto parsed = parse_host_settings(
        with("[store]",
             "peers = {{ip}}:{{port_range.1}}\n[workspaces]\n"
             "{{#a.b}}quota_window = {{a.b}}s{{/a.b}}\n"
             "[limits]\nmemory = {{limits.memory_mb}}MiB\n[store]"));
    BOOST_REQUIRE(ok(parsed));
    const auto& it = std::get<host_settings>(parsed);
    BOOST_TEST(!it.peers);
    BOOST_TEST((it.quota_window == 0s));
    BOOST_TEST(it.memory == 0U);
    BOOST_TEST(it.region.value == "north");
}

BOOST_AUTO_TEST_CASE(hold_the_limits_of_the_host_and_of_workspaces)
{
    const auto parsed = parse_host_settings(
        with("[store]",
             "peers = 10.1.0.8:7441\n[limits]\nmemory = 160MiB\n"
             "descriptors = 4400\n[workspaces]\nquota_window = 5s\n"
             "quota_excess = 0.1\nquota_slack = 20\n[store]"));
    BOOST_REQUIRE(ok(parsed));
    const auto& it = std::get<host_settings>(parsed);
    BOOST_REQUIRE(it.peers);
    BOOST_TEST(it.peers->port == 7441U);
    BOOST_TEST(it.memory == 160U * 1024 * 1024);
    BOOST_TEST(it.descriptors == 4400U);
    BOOST_TEST((it.quota_window == 5s));
    BOOST_TEST(it.quota_excess == 0.1);
    BOOST_TEST(it.quota_slack == 20U);
}

BOOST_AUTO_TEST_CASE(need_no_address_for_metrics)
{
    const auto parsed =
        parse_host_settings(with("metrics = 10.1.0.8:7440\n", ""));
    BOOST_REQUIRE(ok(parsed));
    BOOST_TEST(!std::get<host_settings>(parsed).metrics);
}

// Guards against a host that keeps using replaced primaries, because the
// platform's word for it was not understood.
BOOST_AUTO_TEST_CASE(say_whether_the_platform_fences_promotions)
{
    const std::string address = "address = 10.200.0.160:8783\n";
    BOOST_TEST(std::get<host_settings>(parse_host_settings(valid)).fencing);
    for (const bool fencing : {true, false})
    {
        const auto line =
            std::string("fencing = ") + (fencing ? "true" : "false") + "\n";
        const auto parsed = parse_host_settings(with(address, address + line));
        BOOST_REQUIRE(ok(parsed));
        BOOST_TEST(std::get<host_settings>(parsed).fencing == fencing);
    }
    BOOST_TEST(error_of(with(address, address + "fencing = no\n")) ==
               "promotions.fencing: write true or false");
}

BOOST_AUTO_TEST_SUITE(that_are_wrong)

BOOST_AUTO_TEST_CASE(name_the_key_and_the_remedy)
{
    BOOST_TEST(error_of(with("name = host-1\n", "")) ==
               "host.name: the key is missing; add it");
    BOOST_TEST(error_of(with("grace = 6s", "grace = 6")) ==
               "shutdown.grace: write a time with its unit, for example 5s");
    BOOST_TEST(error_of(with("workers = 1", "workers = 0")) ==
               "host.workers: write a number from 1 to 64");
    BOOST_TEST(error_of(with("10.200.1.7:8783", "nowhere"))
                   .rfind("store.address: ", 0) == 0U);
}

BOOST_AUTO_TEST_CASE(name_the_line_if_it_is_no_setting)
{
    BOOST_TEST(error_of("[host]\nnonsense\n").rfind("line 2", 0) == 0U);
}

BOOST_AUTO_TEST_CASE(are_reported_if_the_file_cannot_be_read)
{
    BOOST_TEST(!ok(read_host_settings("/nonexistent")));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
