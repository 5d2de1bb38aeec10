#include "godwitbarrow/gateway/admin.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "http_client.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::gateway;
using namespace http_test;

namespace
{

struct running_admin : workers
{
    running_admin()
    {
        server = std::get<admin_ptr>(start_admin(io.get_executor(), any_port,
                                                 [](std::string_view path)
                                                 { return answer(path); }));
    }
    ~running_admin()
    {
        stop(server);
    }

    static std::optional<admin_response> answer(std::string_view path)
    {
        if (path == "/healthz")
            return admin_response{503, "text/plain", "draining"};
        if (path == "/v1/admin/big")
            return admin_response{200, "text/plain",
                                  std::string(max_admin_answer_bytes + 1, 'x')};
        if (path == "/v1/admin/full")
            return admin_response{200, "text/plain",
                                  std::string(max_admin_answer_bytes, 'x')};
        return std::nullopt;
    }

    response ask(const std::string& bytes) const
    {
        client it(local_endpoint(server));
        it.send(bytes);
        return it.receive();
    }

    admin_ptr server;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(an_operator_asks_a_host, running_admin)

BOOST_AUTO_TEST_CASE(the_answer_of_the_handler_is_sent)
{
    const auto got = ask(get("/healthz?verbose=1"));
    BOOST_TEST(got.result_int() == 503U);
    BOOST_TEST(got[http::field::content_type] == "text/plain");
    BOOST_TEST(got.body() == "draining");
}

// Guards against a route that changes the system past the settings folder.
BOOST_AUTO_TEST_CASE(only_reading_known_routes_is_possible)
{
    const auto changed = ask(post("{}", "", "/v1/admin/full"));
    BOOST_TEST(changed.result_int() == 405U);
    BOOST_TEST(changed[http::field::allow] == "GET");
    BOOST_TEST(ask(get("/other")).result_int() == 404U);
    BOOST_TEST(ask(get("/v1/admin/")).result_int() == 404U);
    const auto unknown = ask(get("/v1/admin/none"));
    BOOST_TEST(unknown.result_int() == 404U);
    BOOST_TEST(field(unknown, "error") == "not_found");
}

// Guards against an answer that fills the memory of a small host.
BOOST_AUTO_TEST_CASE(an_answer_above_one_mebibyte_is_replaced_by_an_error)
{
    BOOST_TEST(ask(get("/v1/admin/full")).body().size() ==
               max_admin_answer_bytes);
    const auto got = ask(get("/v1/admin/big"));
    BOOST_TEST(got.result_int() == 500U);
    BOOST_TEST(field(got, "error") == "internal");
}

// Guards against connections that send half a request and shut out the probes
// of the balancer.
BOOST_AUTO_TEST_CASE(half_requests_make_room_for_a_whole_one)
{
    std::vector<std::unique_ptr<client>> crowd;
    for (int n = 0; n < 100; ++n)
    {
        crowd.push_back(std::make_unique<client>(local_endpoint(server)));
        crowd.back()->send("GET /healthz HTTP/1.1\r\nHost:");
    }
    BOOST_TEST(ask(get("/healthz")).result_int() == 503U);
}

BOOST_AUTO_TEST_SUITE_END()
