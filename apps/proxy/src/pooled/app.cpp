#include "app.hpp"

#include <mutex>

#include "links.hpp"
#include "primary_confirmation.hpp"
#include "quotas.hpp"
#include "reports.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

/// Bounds how late a statement is given up or sent again.
constexpr std::chrono::milliseconds fast_tick{25};

void arm_tick(app& it)
{
    it.tick.expires_after(fast_tick);
    it.tick.async_wait(
        [&it](boost::system::error_code ec)
        {
            if (ec)
                return;
            it.ticking = false;
            handle(it, pooler::timer_tick{});
        });
}

struct performer
{
    app& in;

    void operator()(const pooler::accept_caller& a) const
    {
        accept(in, a);
    }
    void operator()(const pooler::refuse_caller& a) const
    {
        refuse(in, a);
    }
    void operator()(const pooler::reply_to_caller& a) const
    {
        reply(in, a);
    }
    void operator()(const pooler::close_caller& a) const
    {
        close_session(in, a.session);
    }
    void operator()(const pooler::open_connection& a) const
    {
        open(in, a);
    }
    void operator()(const pooler::send_to_member& a) const
    {
        send(in, a);
    }
    void operator()(const pooler::close_connection& a) const
    {
        close_member(in, a.connection);
    }
    void operator()(const pooler::borrow_operations& a) const
    {
        borrow(in, a);
    }
    void operator()(const pooler::confirm_primary& a) const
    {
        confirm(in, a);
    }
    void operator()(const pooler::decision_note& a) const
    {
        report(in, a);
    }
    void operator()(const pooler::statement_ended& a) const
    {
        report(in, a);
    }
};

/// The actions of one or more decisions, or none if another thread performs
/// them.
std::deque<pooler::action> take_outbox(app& it)
{
    std::lock_guard lock(it.decisions.mutex);
    it.decisions.performing = !it.decisions.outbox.empty();
    return std::exchange(it.decisions.outbox, {});
}

}  // namespace
}  // namespace detail

void handle(app& it, const pooler::event& what)
{
    bool needs_ticks = false;
    {
        std::lock_guard lock(it.decisions.mutex);
        auto& t = it.decisions;
        for (auto& a :
             pooler::decide(t.state, what, core::runtime_clock::now()))
            t.outbox.push_back(std::move(a));
        it.ready = pooler::is_ready(t.state);
        it.configuration_version = t.state.active_configuration.version;
        needs_ticks = pooler::needs_ticks(t.state);
        if (t.performing)
            return;
        t.performing = true;
    }
    // One thread at a time performs actions, so that their order is kept.
    while (true)
    {
        const auto batch = detail::take_outbox(it);
        if (batch.empty())
            break;
        for (const auto& a : batch)
            std::visit(detail::performer{it}, a);
    }
    if (needs_ticks && !it.ticking.exchange(true))
        detail::arm_tick(it);
}

}  // namespace godwitbarrow::proxy::pooled
