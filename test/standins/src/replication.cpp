#include <boost/asio/post.hpp>
#include <exception>
#include <iterator>
#include <utility>

#include "database_state.hpp"
#include "godwitbarrow/standins/database_messages.hpp"

namespace godwitbarrow::standins
{

namespace detail
{
namespace
{

using std::chrono::milliseconds;

/// Between pulls after a failure or while there is no primary.
constexpr milliseconds pull_pause{50};
constexpr milliseconds connect_timeout{300};
/// Longer than a primary holds an empty pull (200 ms), shorter than the
/// contact timeout, so that one silent connection does not lose the contact.
constexpr milliseconds pull_timeout{600};
/// Stands for replication that is paused while the contact continues.
constexpr milliseconds paused_lag = std::chrono::hours(24);

void pull(const database_ptr& it);

void pull_later(const database_ptr& it)
{
    if (it->stopped)
        return;
    it->pull_timer.expires_after(pull_pause);
    it->pull_timer.async_wait([it](boost::system::error_code) { pull(it); });
}

void drop_link(const database_ptr& it)
{
    if (it->pull_link)
        http::close(it->pull_link);
    it->pull_link.reset();
}

/// The primary, or each peer in turn while the primary of the present term is
/// not known. A fenced member waits until it is told whom to follow.
std::string choose_source(database& it)
{
    const auto& m = it.member;
    if (m.role == core::member_role::primary || it.links_cut)
        return {};
    if (!m.primary.empty() || !m.attempt.empty() || it.options.peers.empty())
        return m.primary;
    const auto n = it.next_candidate++ % it.options.peers.size();
    return std::next(it.options.peers.begin(), static_cast<std::ptrdiff_t>(n))
        ->first;
}

bool apply_reply(const database_ptr& it, const pull_request& request,
                 const pull_reply& reply)
{
    auto& m = it->member;
    if (it->links_cut || !reply.accepted || reply.term != m.term)
        return false;
    if (it->replication_paused && !reply.entries.empty())
        return false;
    const auto now = core::runtime_clock::now();
    const bool joined = is_current(m);
    const bool heard = status_of(m, now).primary_contact;
    if (!follow(m, reply.term, it->pull_from, now) ||
        !take_pull(m, request, reply, now))
        return false;
    if (!reply.entries.empty() || !joined || !heard)
        notify_change(it);
    return true;
}

void take_result(const database_ptr& it, const pull_request& request,
                 const http::exchange_result& r)
{
    bool applied = false;
    const auto* a = std::get_if<http::answer>(&r);
    if (a && a->code == 200)
        applied = apply_reply(it, request, decode_pull_reply(a->body));
    if (!a)
        drop_link(it);
    if (applied)
        return pull(it);
    // A status that waits also reports that the contact was lost.
    notify_change(it);
    pull_later(it);
}

void send_pull(const database_ptr& it)
{
    const auto lag = it->replication_paused ? paused_lag : it->options.lag;
    const auto request = make_pull(it->member, lag);
    http::exchange(it->pull_link,
                   {http::method::post, "/pull", encode_pull(request)},
                   core::runtime_clock::now() + pull_timeout,
                   [it, request](const http::exchange_result& r)
                   {
                       boost::asio::post(it->executor, [it, request, r]
                                         { take_result(it, request, r); });
                   });
}

void connect(const database_ptr& it)
{
    const auto connected = [it](const core::result<http::link_ptr>& r)
    {
        if (const auto* l = std::get_if<http::link_ptr>(&r))
        {
            it->pull_link = *l;
            return send_pull(it);
        }
        notify_change(it);
        pull_later(it);
    };
    http::open_link(it->executor, it->options.peers.at(it->pull_from),
                    connect_timeout, connected);
}

void pull(const database_ptr& it)
{
    if (it->stopped)
        return drop_link(it);
    const auto source = choose_source(*it);
    if (source != it->pull_from)
        drop_link(it);
    it->pull_from = source;
    if (it->options.peers.count(source) == 0)
        return pull_later(it);
    if (it->pull_link && http::is_open(it->pull_link))
        return send_pull(it);
    connect(it);
}

/// Runs one attempt and arms the timer for the next one.
void try_waiter(const database_ptr& it, const std::shared_ptr<waiter>& w)
{
    const auto t = w->attempt();
    if (!t || it->stopped)
    {
        it->waiters.erase(w);
        return;
    }
    w->timer.expires_at(*t);
    w->timer.async_wait([it, w](boost::system::error_code)
                        { try_waiter(it, w); });
}

}  // namespace
}  // namespace detail

void wait_for(const database_ptr& it, attempt_function attempt)
{
    auto w = std::make_shared<waiter>(it->executor);
    w->attempt = std::move(attempt);
    it->waiters.insert(w);
    detail::try_waiter(it, w);
}

void notify_change(const database_ptr& it)
{
    for (const auto& w : it->waiters)
        w->timer.cancel();
}

void start_replication(const database_ptr& it)
{
    detail::pull(it);
}

void wake_replication(const database_ptr& it)
{
    if (it->pull_link)
        http::close(it->pull_link);
    it->pull_timer.cancel();
}

}  // namespace godwitbarrow::standins
