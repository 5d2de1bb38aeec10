#include "processes.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace std::chrono_literals;

namespace
{

std::string text_of(const std::string& path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// A log file of its own, removed at the end.
struct log_file
{
    std::string path;

    log_file()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "processes-XXXXXX")
                .string();
        close(mkstemp(pattern.data()));
        path = pattern;
    }
    ~log_file()
    {
        std::filesystem::remove(path);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_child_process)

// Guards against children that keep sockets of the runner open: a connection
// that the soak had closed stayed open at its member, which then refused new
// ones (soak seeds 15 and 90021).
BOOST_FIXTURE_TEST_CASE(inherits_no_socket, log_file)
{
    int ends[2];
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
    const auto started = scenario::start_process(
        {"/bin/sh", "-c", "ls -l /proc/self/fd; echo listed"}, path);
    BOOST_REQUIRE(ok(started));
    auto child = std::get<scenario::process>(started);
    BOOST_TEST((scenario::wait_for_exit(child, 10s) == 0));
    const auto text = text_of(path);
    BOOST_TEST(text.find("listed") != std::string::npos);
    BOOST_TEST(text.find("socket:") == std::string::npos);
    close(ends[0]);
    close(ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()
