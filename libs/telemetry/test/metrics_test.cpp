#include "godwitbarrow/telemetry/metrics.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "godwitbarrow/telemetry/exposition.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::telemetry;
using namespace std::chrono_literals;

namespace
{

using labels = std::map<std::string, std::string>;

/// Value of one series, or -1 if it is absent.
double value(const metrics& of, const std::string& name,
             const labels& with = {})
{
    const auto scrape = std::get<exposition>(parse_exposition(expose(of)));
    for (const auto& it : scrape)
        if (it.name == "godwitbarrow_" + name && it.labels == with)
            return it.value;
    return -1;
}

request_result result_of(core::error_kind it)
{
    return classify(core::not_run{{it, ""}, {}});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_process_counts_its_work)

// Guards against a metric under another name or label than operators query.
BOOST_AUTO_TEST_CASE(each_metric_appears_in_the_exposition)
{
    const auto it = make_metrics();
    count_request(*it, core::rank::urgent, request_result::completed, 30ms);
    count_request(*it, core::rank::urgent, request_result::not_run, 1ms);
    count_read(*it, core::member_role::replica);
    count_failover_step(*it, "claimed");
    set_settings_generation(*it, 12);
    count_store_error(*it, "put_row");
    count_retry(*it, core::rank::deferred);
    set_draining(*it, true);
    set_gateway_load(*it, 3, 4);
    BOOST_TEST(value(*it, "requests_total",
                     {{"rank", "urgent"}, {"result", "completed"}}) == 1);
    BOOST_TEST(
        value(*it, "request_latency_seconds_count", {{"rank", "urgent"}}) == 1);
    BOOST_TEST(value(*it, "reads_total", {{"role", "replica"}}) == 1);
    BOOST_TEST(value(*it, "failover_steps_total", {{"step", "claimed"}}) == 1);
    BOOST_TEST(value(*it, "settings_generation") == 12);
    BOOST_TEST(value(*it, "store_errors_total", {{"operation", "put_row"}}) ==
               1);
    BOOST_TEST(value(*it, "retries_total", {{"rank", "deferred"}}) == 1);
    BOOST_TEST(value(*it, "draining") == 1);
    BOOST_TEST(value(*it, "requests_in_flight") == 3);
    BOOST_TEST(value(*it, "caller_connections") == 4);
}

// Guards against queue lengths of servers that moved to another owner.
BOOST_AUTO_TEST_CASE(the_queues_of_a_forgotten_server_disappear)
{
    const auto it = make_metrics();
    const labels queue{{"server", "s1"}, {"rank", "urgent"}};
    set_queue_length(*it, {"s1"}, core::rank::urgent, 5);
    BOOST_TEST(value(*it, "queue_length", queue) == 5);
    forget_server(*it, {"s1"});
    forget_server(*it, {"s2"});
    BOOST_TEST(value(*it, "queue_length", queue) == -1);
}

// Guards against an objective that callers can burn with faulty requests.
BOOST_AUTO_TEST_CASE(faults_of_the_caller_are_invalid)
{
    BOOST_TEST((result_of(core::error_kind::malformed_request) ==
                request_result::invalid));
    BOOST_TEST((result_of(core::error_kind::statement_failed) ==
                request_result::invalid));
    BOOST_TEST(
        (result_of(core::error_kind::overloaded) == request_result::not_run));
    BOOST_TEST((classify(core::outcome_unknown{}) == request_result::unknown));
    BOOST_TEST((classify(core::completed{}) == request_result::completed));
}

// Guards against a data race between workers and a scrape.
BOOST_AUTO_TEST_CASE(workers_count_while_a_scrape_runs)
{
    const auto it = make_metrics();
    const auto work = [&]
    {
        for (int n = 0; n < 200; ++n)
        {
            count_request(*it, core::rank::urgent, request_result::completed,
                          1ms);
            set_queue_length(*it, {"s1"}, core::rank::urgent, 1);
            forget_server(*it, {"s1"});
        }
    };
    std::array<std::thread, 3> workers;
    for (auto& t : workers)
        t = std::thread(work);
    for (int n = 0; n < 20; ++n)
    {
        const auto text = std::get<exposition>(parse_exposition(expose(*it)));
        const auto now = sample_from(text, {}, {}).by_rank[0];
        BOOST_TEST(now.good <= now.total);
    }
    for (auto& t : workers)
        t.join();
    BOOST_TEST(value(*it, "requests_total",
                     {{"rank", "urgent"}, {"result", "completed"}}) == 600);
}

BOOST_AUTO_TEST_SUITE(that_it_shares_with_other_hosts)

// Guards against a load that cannot be told apart: statements, rows and
// contents share the links.
BOOST_AUTO_TEST_CASE(bytes_add_up_by_topic)
{
    const auto it = make_metrics();
    count_host_bytes(*it, "rows", 1000);
    count_host_bytes(*it, "rows", 500);
    count_host_bytes(*it, "sessions", 20);
    BOOST_TEST(value(*it, "host_sent_bytes_total", {{"topic", "rows"}}) ==
               1500);
    BOOST_TEST(value(*it, "host_sent_bytes_total", {{"topic", "sessions"}}) ==
               20);
}

// Guards against a backlog that is still shown once it is sent.
BOOST_AUTO_TEST_CASE(the_backlog_is_the_last_that_was_seen)
{
    const auto it = make_metrics();
    BOOST_TEST(value(*it, "host_backlog_bytes") == 0);
    set_host_backlog(*it, 4096, 1500ms);
    BOOST_TEST(value(*it, "host_backlog_bytes") == 4096);
    BOOST_TEST(value(*it, "host_backlog_seconds") == 1.5);
    set_host_backlog(*it, 0, 0ms);
    BOOST_TEST(value(*it, "host_backlog_bytes") == 0);
    BOOST_TEST(value(*it, "host_backlog_seconds") == 0);
}

// Guards against hosts that wait for a content without a trace.
BOOST_AUTO_TEST_CASE(transfers_are_counted_while_they_run_and_at_their_end)
{
    const auto it = make_metrics();
    set_content_load(*it, 2, 7);
    BOOST_TEST(value(*it, "content_served_hosts") == 2);
    BOOST_TEST(value(*it, "content_waiting_hosts") == 7);
    set_content_load(*it, 0, 0);
    count_content(*it, "sent");
    count_content(*it, "silent");
    BOOST_TEST(value(*it, "content_waiting_hosts") == 0);
    BOOST_TEST(value(*it, "contents_total", {{"result", "sent"}}) == 1);
    BOOST_TEST(value(*it, "contents_total", {{"result", "silent"}}) == 1);
}

// Guards against times in another unit: the buckets are in seconds.
BOOST_AUTO_TEST_CASE(each_heartbeat_is_in_the_bucket_of_its_time)
{
    const auto it = make_metrics();
    observe_heartbeat(*it, 1500ms);
    const std::string name = "owner_heartbeat_seconds_bucket";
    BOOST_TEST(value(*it, name, {{"le", "1"}}) == 0);
    BOOST_TEST(value(*it, name, {{"le", "2"}}) == 1);
}

BOOST_AUTO_TEST_CASE(lost_sessions_are_counted_by_outcome)
{
    const auto it = make_metrics();
    count_lost_session(*it, "in_doubt");
    count_lost_session(*it, "in_doubt");
    count_lost_session(*it, "none");
    BOOST_TEST(value(*it, "lost_sessions_total", {{"outcome", "in_doubt"}}) ==
               2);
    BOOST_TEST(value(*it, "lost_sessions_total", {{"outcome", "none"}}) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(while_its_event_loop_is_late)

// Guards against delays in another unit: the buckets are in seconds.
BOOST_AUTO_TEST_CASE(each_delay_is_in_the_bucket_of_its_length)
{
    const auto it = make_metrics();
    observe_loop_delay(*it, 3ms);
    observe_loop_delay(*it, 700ms);
    BOOST_TEST(value(*it, "loop_delay_seconds_count") == 2);
    BOOST_TEST(value(*it, "loop_delay_seconds_bucket", {{"le", "0.005"}}) == 1);
    BOOST_TEST(value(*it, "loop_delay_seconds_bucket", {{"le", "0.5"}}) == 1);
    BOOST_TEST(value(*it, "loop_delay_seconds_bucket", {{"le", "1"}}) == 2);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
