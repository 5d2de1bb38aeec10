#include "godwitbarrow/tool/burn.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <thread>

#include "godwitbarrow/gateway/admin.hpp"
#include "godwitbarrow/telemetry/metrics.hpp"

using namespace godwitbarrow;
using namespace std::chrono_literals;

namespace
{

/// An admin port that counts `bad` more failed and `good` more completed
/// urgent requests before each scrape.
struct host
{
    host(int good, int bad) : metrics(telemetry::make_metrics())
    {
        const auto handler = [this, good, bad](std::string_view)
        {
            for (int n = 0; n < good; ++n)
                count(telemetry::request_result::completed);
            for (int n = 0; n < bad; ++n)
                count(telemetry::request_result::not_run);
            return gateway::admin_response{200, "text/plain",
                                           telemetry::expose(*metrics)};
        };
        server = std::get<gateway::admin_ptr>(
            gateway::start_admin(io.get_executor(), {"127.0.0.1", 0}, handler));
        worker = std::thread([this] { io.run(); });
    }

    ~host()
    {
        gateway::stop(server);
        worker.join();
    }

    void count(telemetry::request_result result)
    {
        telemetry::count_request(*metrics, core::rank::urgent, result, 1ms);
    }

    core::endpoint address() const
    {
        return gateway::local_endpoint(server);
    }

    telemetry::metrics_ptr metrics;
    boost::asio::io_context io;
    gateway::admin_ptr server;
    std::thread worker;
};

struct report
{
    std::ostringstream result;
    std::ostringstream errors;
    int code = 0;
};

report run_burn(std::vector<core::endpoint> targets, bool json)
{
    report it;
    tool::burn_options options;
    options.targets = std::move(targets);
    options.interval = 1ms;
    options.samples = 3;
    options.json = json;
    it.code = tool::burn(options, {it.result, it.errors});
    return it;
}

const std::string example = SOURCE_DIRECTORY "/examples/dar-el-kalima";

}  // namespace

BOOST_AUTO_TEST_SUITE(an_operator_asks_for_the_burn_report)

BOOST_AUTO_TEST_SUITE(of_hosts_that_meet_their_objectives)

// Guards against an alarm without bad requests.
BOOST_AUTO_TEST_CASE(nothing_burns)
{
    host a(10, 0);
    host b(0, 0);
    const auto it = run_burn({a.address(), b.address()}, false);
    BOOST_TEST(it.code == tool::exit_not_burning, it.errors.str());
    BOOST_TEST(it.result.str().find("yes") == std::string::npos);
    BOOST_TEST(it.result.str().find("99% in 1s") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_host_that_fails_half_of_its_requests)

// Guards against a loss on one host that the other hosts hide.
BOOST_AUTO_TEST_CASE(the_rank_burns_and_the_exit_code_says_so)
{
    host a(5, 5);
    host b(1, 0);
    const auto it = run_burn({a.address(), b.address()}, true);
    BOOST_TEST(it.code == tool::exit_burning, it.errors.str());
    const auto text = it.result.str();
    BOOST_TEST(text.find("\"requests\":22,\"bad\":10") != std::string::npos,
               text);
    BOOST_TEST(text.find("{\"burning\":true") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_host_that_does_not_answer)

// Guards against "not burning" for requests that nobody has counted.
BOOST_AUTO_TEST_CASE(the_report_is_a_failure_and_names_the_host)
{
    core::endpoint gone;
    {
        host stopped(0, 0);
        gone = stopped.address();
    }
    host a(10, 0);
    const auto it = run_burn({a.address(), gone}, false);
    BOOST_TEST(it.code == tool::exit_failure);
    BOOST_TEST(it.errors.str().find(core::to_string(gone)) !=
               std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_flags)

// Guards against a report by other objectives than those in effect.
BOOST_AUTO_TEST_CASE(the_objectives_come_from_the_folder)
{
    const auto it =
        tool::parse_burn_flags({"127.0.0.1:1,127.0.0.1:2", "1s", 2, example});
    BOOST_REQUIRE(core::ok(it));
    const auto& options = std::get<tool::burn_options>(it);
    BOOST_TEST(options.targets.size() == 2u);
    BOOST_TEST(options.goals[0].target == 0.9995);
    BOOST_TEST((options.goals[0].latency == 250ms));
}

// Guards against a wrong flag that leads to an empty report.
BOOST_AUTO_TEST_CASE(a_wrong_one_is_named)
{
    const std::string target = "127.0.0.1:1";
    const std::vector<std::pair<tool::burn_flags, std::string>> wrong{
        {{"", "1s", 2, ""}, "--scrape"},
        {{"host", "1s", 2, ""}, "--scrape"},
        {{target, "1", 2, ""}, "--interval"},
        {{target, "1s", 1, ""}, "--samples"},
        {{target, "1s", 2, SOURCE_DIRECTORY "/tools"}, "--folder"}};
    for (const auto& [flags, name] : wrong)
    {
        const auto it = tool::parse_burn_flags(flags);
        BOOST_REQUIRE(!core::ok(it));
        BOOST_TEST(std::get<core::error>(it).message.find(name) == 0u);
    }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
