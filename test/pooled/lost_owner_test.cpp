#include "owner_fleet.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::test;

namespace
{

const std::string written = "DONE sig | READY I -";

/// A caller whose owner stops all work while its link stays open.
struct frozen_owner : owner_fleet
{
    caller it{port_of(entry()), "newest"};
    std::promise<void> thaw;
    bool resumed = false;

    frozen_owner()
    {
        it.line();
        it.query("WRITE 1 x");
    }

    ~frozen_owner()
    {
        resume();
    }

    void resume()
    {
        if (!std::exchange(resumed, true))
            thaw.set_value();
    }

    void freeze()
    {
        asio::post(owner_in_use().app->io,
                   [this] { thaw.get_future().wait(); });
    }

    /// Freezes the owner and sends the statement.
    std::string query_frozen(const std::string& text)
    {
        freeze();
        return it.query(text);
    }
};

/// The code of a failed answer, and the state after it.
std::string outcome_of(const std::string& answer)
{
    const auto code_end = answer.find(' ', std::string("ERROR ").size());
    const auto ready = answer.rfind(" | READY ");
    if (answer.rfind("ERROR ", 0) != 0 || ready == std::string::npos)
        return answer;
    return answer.substr(0, code_end) + answer.substr(ready);
}

}  // namespace

// Guards against requests that end with neither an outcome nor a refusal
// (LOST): the entry host closed the connection.
BOOST_AUTO_TEST_SUITE(a_caller_whose_owner_is_given_up)

BOOST_AUTO_TEST_SUITE(while_a_statement_is_outstanding)

BOOST_FIXTURE_TEST_CASE(is_told_that_a_read_had_no_effect, frozen_owner)
{
    BOOST_TEST(outcome_of(query_frozen("READ 1")) ==
               "ERROR ABORTED | READY I -");
    BOOST_TEST(it.line() == "closed");
}

BOOST_FIXTURE_TEST_CASE(is_told_that_a_write_is_in_doubt, frozen_owner)
{
    BOOST_TEST(outcome_of(query_frozen("WRITE 1 y")) ==
               "ERROR INDOUBT | READY I -");
    BOOST_TEST(it.line() == "closed");
}

BOOST_FIXTURE_TEST_CASE(is_told_that_its_transaction_is_aborted, frozen_owner)
{
    it.query("BEGIN");
    BOOST_TEST(outcome_of(query_frozen("WRITE 1 y")) ==
               "ERROR ABORTED | READY E -");
    BOOST_TEST(it.line() == "closed");
    resume();
    caller next(port_of(entry()), "newest");
    next.line();
    wait_until([&] { return next.query("WRITE 2 z") == written; });
    BOOST_TEST(next.query("READ 1") == "ROW x | DONE sig | READY I -");
}

BOOST_FIXTURE_TEST_CASE(is_told_that_its_commit_is_in_doubt, frozen_owner)
{
    it.query("BEGIN");
    it.query("WRITE 1 y");
    BOOST_TEST(outcome_of(query_frozen("COMMIT")) ==
               "ERROR INDOUBT | READY I -");
    BOOST_TEST(it.line() == "closed");
}

// Guards against a loss that operators cannot see in the metrics.
BOOST_FIXTURE_TEST_CASE(is_counted_by_its_outcome, frozen_owner)
{
    query_frozen("WRITE 1 y");
    BOOST_TEST(it.line() == "closed");
    const auto text = telemetry::expose(*entry().app->metrics);
    const std::string expected =
        "godwitbarrow_lost_sessions_total{outcome=\"in_doubt\"} 1";
    BOOST_TEST(text.find(expected) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a promise that nothing was kept although a later statement,
// sent ahead, may have committed it.
BOOST_FIXTURE_TEST_CASE(is_told_of_each_statement_that_it_sent_ahead,
                        frozen_owner)
{
    freeze();
    it.write("QUERY 5c0e7a21 BEGIN");
    it.write("QUERY 5c0e7a22 WRITE 1 y");
    it.write("QUERY 5c0e7a23 COMMIT");
    for (int n = 0; n < 3; ++n)
    {
        BOOST_TEST(it.line().rfind("ERROR INDOUBT", 0) == 0U);
        BOOST_TEST(it.line().rfind("READY", 0) == 0U);
    }
    BOOST_TEST(it.line() == "closed");
}

BOOST_FIXTURE_TEST_CASE(is_refused_if_its_session_has_not_begun, frozen_owner)
{
    freeze();
    caller next(port_of(entry()), "newest");
    BOOST_TEST(next.line().rfind("ERROR BUSY", 0) == 0U);
    BOOST_TEST(next.line() == "closed");
}

BOOST_FIXTURE_TEST_CASE(is_only_disconnected_while_it_is_idle, frozen_owner)
{
    stop(owner_in_use());
    BOOST_TEST(it.line() == "closed");
}

BOOST_AUTO_TEST_SUITE_END()
