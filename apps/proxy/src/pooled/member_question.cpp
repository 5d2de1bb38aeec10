#include "member_question.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "godwitbarrow/platform/member_wire.hpp"
#include "godwitbarrow/telemetry/log.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

using question_strand =
    boost::asio::strand<boost::asio::io_context::executor_type>;

/// One question. Used on its strand, on which the connection runs as well: its
/// answers and the deadline may come at the same time.
struct question
{
    explicit question(const question_strand& s) : strand(s), deadline(s) {}

    question_strand strand;
    stream::connection_ptr link;
    core::timer deadline;
    platform::partial_answer partial;
    /// Answers before the one to the status: to the startup and the commands.
    int skipped = 0;
    int before_status = 1;
    std::string first;
    std::string then;
    std::function<void(std::optional<takeover::member_report>)> handler;
};
using question_ptr = std::shared_ptr<question>;

void finish(const question_ptr& q,
            const std::optional<takeover::member_report>& r)
{
    const auto handler = std::exchange(q->handler, {});
    if (!handler)
        return;
    q->deadline.cancel();
    // The handlers of the link refer to the question.
    if (const auto link = std::exchange(q->link, nullptr))
        stream::close(link);
    handler(r);
}

void take_answer(const question_ptr& q, const pooler::answer& a)
{
    if (!q->link)
        return;
    if (q->skipped == 0)
        stream::send(q->link, q->then);
    if (q->skipped++ < q->before_status)
        return;
    const auto parsed = platform::parse_member_report(a);
    if (const auto* e = std::get_if<core::error>(&parsed))
    {
        telemetry::log_event(telemetry::log_level::warning,
                             "member status not usable",
                             {{"reason", e->message}});
        return finish(q, std::nullopt);
    }
    const auto& n = std::get<platform::member_report>(parsed);
    finish(q, takeover::member_report{n.role, n.newest_term, n.received,
                                      n.paused_at});
}

void take_line(const question_ptr& q, std::string_view line)
{
    auto got = platform::take_member_line(q->partial, line);
    if (!ok(got))
        return finish(q, std::nullopt);
    const auto& a = std::get<std::optional<pooler::answer>>(got);
    if (a)
        take_answer(q, *a);
}

void ask(const question_ptr& q, const core::endpoint& address,
         std::chrono::milliseconds limit)
{
    q->deadline.expires_after(limit);
    q->deadline.async_wait(
        [q](boost::system::error_code ec)
        {
            if (!ec)
                finish(q, std::nullopt);
        });
    stream::handlers on;
    on.received = [q](std::string_view line)
    {
        take_line(q, line);
    };
    on.closed = [q](const std::string&)
    {
        finish(q, std::nullopt);
    };
    q->link = stream::connect(
        q->strand, address, limit,
        [q]
        {
            if (q->link)
                stream::send(q->link, q->first);
        },
        std::move(on));
}

}  // namespace
}  // namespace detail

void ask_member(
    app& it, const pooler::registration& member,
    const member_commands& commands, std::chrono::milliseconds limit,
    std::function<void(std::optional<takeover::member_report>)> handler)
{
    const auto q =
        std::make_shared<detail::question>(boost::asio::make_strand(it.io));
    q->handler = std::move(handler);
    q->first = platform::encode_startup(member.group, member.server,
                                        it.settings.name.value);
    if (commands.pause_at)
    {
        q->then = platform::encode_pause(*commands.pause_at);
        ++q->before_status;
    }
    if (commands.step_down_at)
    {
        q->then += platform::encode_step_down(*commands.step_down_at);
        ++q->before_status;
    }
    if (commands.resume)
    {
        q->then += platform::encode_resume();
        ++q->before_status;
    }
    q->then += platform::encode_status();
    boost::asio::post(q->strand, [q, address = member.address, limit]
                      { detail::ask(q, address, limit); });
}

}  // namespace godwitbarrow::proxy::pooled
