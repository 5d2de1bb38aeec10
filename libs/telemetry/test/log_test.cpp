#include "godwitbarrow/telemetry/log.hpp"

#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>

using namespace godwitbarrow;
using namespace godwitbarrow::telemetry;
using namespace std::chrono_literals;

namespace
{

/// Sends standard error to a file while it exists.
struct captured_stderr
{
    captured_stderr() : file(std::tmpfile()), saved(dup(STDERR_FILENO))
    {
        dup2(fileno(file), STDERR_FILENO);
    }
    ~captured_stderr()
    {
        dup2(saved, STDERR_FILENO);
        close(saved);
        std::fclose(file);
    }

    std::string text() const
    {
        std::array<char, 4096> buf;
        std::rewind(file);
        return {buf.data(), std::fread(buf.data(), 1, buf.size(), file)};
    }

    std::FILE* file;
    int saved;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(an_event_is_logged)

BOOST_AUTO_TEST_CASE(its_fields_are_key_value_pairs)
{
    BOOST_TEST(format_event("claimed", {{"group", core::group_id{"g"}},
                                        {"term", std::uint64_t{7}},
                                        {"after", 1500us},
                                        {"reason", "no contact"},
                                        {"primary", ""}}) ==
               "event=claimed group=g term=7 after=1ms reason=\"no contact\" "
               "primary=\"\"");
}

// Guards against a caller who forges log lines or fields.
BOOST_AUTO_TEST_CASE(a_value_cannot_start_a_line_or_a_field)
{
    BOOST_TEST(format_event("a b", {{"id", "x\ny=\"\x01\\"}}) ==
               "event=\"a b\" id=\"x\\ny=\\\"\\x01\\\\\"");
}

BOOST_AUTO_TEST_SUITE(with_a_level)

// Guards against logs on standard output and against a level without effect.
BOOST_AUTO_TEST_CASE(only_events_of_the_level_or_above_reach_standard_error)
{
    start_logging(log_level::warning);
    const captured_stderr err;
    log_event(log_level::info, "quiet");
    log_event(log_level::error, "loud", {{"n", 1}});
    set_log_level(log_level::debug);
    log_event(log_level::debug, "detail");
    const auto text = err.text();
    BOOST_TEST(text.find("quiet") == std::string::npos);
    BOOST_TEST(text.find("ERROR event=loud n=1\n") != std::string::npos);
    BOOST_TEST(text.find("DEBUG event=detail\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(every_level_survives_a_round_trip)
{
    for (int n = 0; n < 4; ++n)
    {
        const auto it = static_cast<log_level>(n);
        BOOST_TEST((parse_log_level(to_string(it)) == it));
    }
    BOOST_TEST(!parse_log_level("loud"));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
