#include "pooled/member_question.hpp"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "member_standin.hpp"
#include "pooled/app.hpp"

using namespace godwitbarrow;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr std::size_t worker_count = 4;
constexpr int question_count = 600;
/// Generous, and only reached if the test fails.
constexpr auto test_timeout = 20s;

proxy::pooled::host_settings settings()
{
    proxy::pooled::host_settings it;
    it.name = {"host"};
    it.workers = worker_count;
    return it;
}

/// A host with several workers and a member on a thread of its own.
struct workers
{
    asio::io_context io;
    test::member_standin member{io, "g", "a",
                                std::make_shared<test::group_data>()};
    proxy::pooled::app host{settings()};
    asio::executor_work_guard<asio::io_context::executor_type> work{
        host.io.get_executor()};
    std::vector<std::thread> threads;

    workers()
    {
        threads.emplace_back([this] { io.run(); });
        for (std::size_t n = 0; n < worker_count; ++n)
            threads.emplace_back([this] { host.io.run(); });
    }

    ~workers()
    {
        io.stop();
        work.reset();
        host.io.stop();
        for (auto& it : threads)
            it.join();
    }

    workers(const workers&) = delete;
    workers& operator=(const workers&) = delete;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_question_to_a_member)

// Guards against a data race: the answer and the deadline came at the same time
// on two workers. The build with ThreadSanitizer shows it.
BOOST_FIXTURE_TEST_CASE(ends_once_if_its_answer_and_deadline_meet, workers)
{
    pooler::registration about;
    about.server = {"a"};
    about.group = {"g"};
    about.address = {"127.0.0.1", member.port()};
    std::atomic<int> ended{0};
    std::promise<void> all_ended;
    for (int n = 0; n < question_count; ++n)
        proxy::pooled::ask_member(host, about, {},
                                  std::chrono::milliseconds(n % 60),
                                  [&](const auto&)
                                  {
                                      if (++ended == question_count)
                                          all_ended.set_value();
                                  });
    BOOST_TEST((all_ended.get_future().wait_for(test_timeout) ==
                std::future_status::ready));
    BOOST_TEST(ended == question_count);
}

BOOST_AUTO_TEST_SUITE_END()
