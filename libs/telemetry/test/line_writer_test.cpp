#include "godwitbarrow/telemetry/line_writer.hpp"

#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

using namespace godwitbarrow::telemetry;

namespace
{

struct pipe_fixture
{
    std::array<int, 2> ends{};
    line_writer to;

    pipe_fixture()
    {
        BOOST_REQUIRE(pipe(ends.data()) == 0);
        to.descriptor = ends[1];
    }
    ~pipe_fixture()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string read_some() const
    {
        std::array<char, 65536> buf{};
        const auto n = read(ends[0], buf.data(), buf.size());
        return {buf.data(), static_cast<std::size_t>(n)};
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_line_for_the_log)

BOOST_FIXTURE_TEST_CASE(arrives_whole, pipe_fixture)
{
    write_line(to, "event=started");
    BOOST_TEST(read_some() == "event=started\n");
}

// Guards against a process that stands still because nobody reads its log.
BOOST_FIXTURE_TEST_CASE(is_dropped_and_counted_while_nobody_reads, pipe_fixture)
{
    const std::string line(1000, 'x');
    for (int n = 0; n < 1000; ++n)
        write_line(to, line);
    BOOST_TEST(to.dropped > 800U);
    const auto lost = to.dropped;
    read_some();
    write_line(to, "event=regained");
    BOOST_TEST(to.dropped == 0U);
    std::string rest = read_some();
    BOOST_TEST(rest.find("dropped_before=" + std::to_string(lost)) !=
               std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(is_cut_if_it_is_too_long, pipe_fixture)
{
    write_line(to, std::string(3 * longest_line, 'x'));
    BOOST_TEST(read_some().size() == longest_line);
}

BOOST_AUTO_TEST_SUITE_END()
