#include "member_question.hpp"

#include "godwitbarrow/platform/member_wire.hpp"
#include "godwitbarrow/telemetry/log.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

/// One question. Used on the strand of its connection, but for `link`.
struct question
{
    explicit question(boost::asio::io_context& io) : deadline(io) {}

    stream::connection_ptr link;
    core::timer deadline;
    platform::partial_answer partial;
    /// Answers before the one to the status: to the startup and to the pause.
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
    finish(q, takeover::member_report{n.role, n.newest_term, n.received});
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

}  // namespace
}  // namespace detail

void ask_member(
    app& it, const pooler::registration& member,
    std::optional<core::term_number> pause_at, std::chrono::milliseconds limit,
    std::function<void(std::optional<takeover::member_report>)> handler)
{
    const auto q = std::make_shared<detail::question>(it.io);
    q->handler = std::move(handler);
    q->first =
        platform::encode_startup(member.group, member.server, it.settings.name);
    if (pause_at)
    {
        q->then = platform::encode_pause(*pause_at);
        ++q->before_status;
    }
    q->then += platform::encode_status();
    stream::handlers on;
    on.received = [q](std::string_view line)
    {
        detail::take_line(q, line);
    };
    on.closed = [q](const std::string&)
    {
        detail::finish(q, std::nullopt);
    };
    q->deadline.expires_after(limit);
    q->link = stream::connect(
        it.io.get_executor(), member.address, limit,
        [q]
        {
            if (q->link)
                stream::send(q->link, q->first);
        },
        std::move(on));
    q->deadline.async_wait(
        [q](boost::system::error_code ec)
        {
            if (!ec)
                detail::finish(q, std::nullopt);
        });
}

}  // namespace godwitbarrow::proxy::pooled
