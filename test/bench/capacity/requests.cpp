#include "capacity.hpp"
#include "godwitbarrow/gateway/codec.hpp"
#include "godwitbarrow/peer/messages.hpp"
#include "godwitbarrow/serving/decide.hpp"

namespace godwitbarrow::capacity
{
namespace
{

using namespace std::chrono_literals;

/// An owner of all three members, whose connections open at once.
struct owner
{
    serving::group_state state;
    core::time_point now{1h};
    serving::send_statement statement;
    std::optional<core::outcome> answer;
};

void give(owner& to, const serving::event& what)
{
    for (auto& it : serving::decide(to.state, what, to.now))
        if (const auto* open = std::get_if<serving::open_connection>(&it))
            give(to,
                 serving::connection_opened{open->server, open->connection});
        else if (auto* statement = std::get_if<serving::send_statement>(&it))
            to.statement = std::move(*statement);
        else if (auto* answer = std::get_if<serving::answer>(&it))
            to.answer = std::move(answer->result);
}

void report_status(owner& it, std::size_t member, core::log_number position)
{
    core::member_status status{1, 1, position};
    if (member == 0)
        status.role = core::member_role::primary;
    give(it, serving::status_received{member_name(0, member), status, it.now});
}

owner make_owner()
{
    owner it;
    it.state = serving::make_group_state(settings_of(0), 1);
    give(it, serving::view_changed{1, member_name(0, 0)});
    give(it, serving::ownership_changed{
                 {member_name(0, 0), member_name(0, 1), member_name(0, 2)}});
    for (std::size_t m = 0; m < 3; ++m)
        report_status(it, m, 10);
    return it;
}

template <class T>
T through_peer(const T& what, core::time_point now)
{
    const auto buf = peer::encode(what, now);
    auto it = peer::decode(buf.data(), buf.size(), now);
    return std::get<T>(std::get<peer::message>(std::move(it)));
}

/// From the body of the HTTP request to that of its answer. A read goes to a
/// replica; a write is confirmed by a status of its own.
void serve(owner& at, const std::string& body, std::size_t n)
{
    auto request = std::get<gateway::parsed_request>(
                       gateway::parse_execute(body, std::to_string(n), at.now))
                       .request;
    const bool write = core::is_write(request.access);
    const auto asked = through_peer(
        peer::execute{request, member_name(0, write ? 0 : 1), {}}, at.now);
    at.answer.reset();
    give(at, serving::request_arrived{asked.request, asked.server});
    core::backend_reply reply;
    reply.id = at.statement.request.id;
    reply.at = {1, write ? 10 + n : 10};
    if (!write)
        reply.rows = {"chair-17 oak 129.00 in stock"};
    at.now += 100us;
    give(at, serving::reply_received{at.statement.dispatch, reply});
    if (write)
        report_status(at, 1, reply.at.position);
    require(at.answer && std::holds_alternative<core::completed>(*at.answer),
            "the request is completed");
    const auto answer =
        through_peer(peer::answer{asked.request.id, *at.answer}, at.now);
    gateway::format_outcome(answer.id, std::get<core::outcome>(answer.result),
                            "token");
}

/// Time of `n` requests with the same body.
std::chrono::nanoseconds serve_time(const std::string& body, std::size_t n)
{
    auto at = make_owner();
    return processor_time(
        [&]
        {
            for (std::size_t i = 1; i <= n; ++i)
                serve(at, body, i);
        });
}

}  // namespace

std::vector<series> measure_requests()
{
    using std::placeholders::_1;
    const std::vector<std::size_t> sizes{10000, 30000, 100000};
    const std::string group = R"({"group":"group-00000","kind":"quote",)";
    const auto read = group + R"("access":"read","statement":"get a"})";
    const auto write = group + R"("access":"write","statement":"put a b",)" +
                       R"("idempotency_key":"order-17"})";
    return {sweep("processor time of reads, without sockets", "request", sizes,
                  std::bind(serve_time, read, _1)),
            sweep("processor time of writes, without sockets", "request", sizes,
                  std::bind(serve_time, write, _1))};
}

}  // namespace godwitbarrow::capacity
