#include "group_runner.hpp"

#include <algorithm>

#include "actions.hpp"
#include "group_settings.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

/// Time for which a request keeps its group at the short poll interval.
constexpr std::chrono::milliseconds activity_time{5000};

/// Backend servers report the loss of their primary after this time.
constexpr std::chrono::milliseconds member_contact_timeout{1500};

std::optional<core::time_point> earliest(
    const std::optional<core::time_point>& a,
    const std::optional<core::time_point>& b)
{
    if (!a || !b)
        return a ? a : b;
    return std::min(*a, *b);
}

void on_timer(app& it, const group_ptr& group)
{
    {
        std::lock_guard lock(group->mutex);
        group->timer_due.reset();
    }
    post(it, group, serving::event(serving::tick{}));
    post(it, group, failover::event(failover::tick{}));
}

// Sets the timer to the next time that one of the decisions needs. The caller
// holds the mutex of the group.
void arm_timer(app& it, const group_ptr& group)
{
    const auto due = earliest(serving::next_wakeup(group->serving),
                              failover::next_wakeup(group->failover));
    if (!due || (group->timer_due && *group->timer_due <= *due))
        return;
    group->timer_due = due;
    group->timer.expires_at(*due);
    group->timer.async_wait(
        [&it, group](boost::system::error_code ec)
        {
            if (!ec)
                on_timer(it, group);
        });
}

template <class Actions>
void append(std::deque<group_action>& outbox, Actions&& actions)
{
    for (auto& n : actions)
        outbox.emplace_back(std::move(n));
}

// Takes the waiting actions. Gives up the role of the performing worker if
// there are none.
std::deque<group_action> take_actions(group_entry& group)
{
    std::lock_guard lock(group.mutex);
    std::deque<group_action> batch;
    batch.swap(group.outbox);
    group.performing = !batch.empty();
    return batch;
}

void perform_all(app& it, const group_ptr& group)
{
    for (auto batch = take_actions(*group); !batch.empty();
         batch = take_actions(*group))
        for (const auto& n : batch)
            perform(it, group, n);
}

template <class Decide>
void decide_and_perform(app& it, const group_ptr& group, Decide&& decide)
{
    {
        std::lock_guard lock(group->mutex);
        append(group->outbox, decide(core::runtime_clock::now()));
        arm_timer(it, group);
        if (group->performing || group->outbox.empty())
            return;
        group->performing = true;
    }
    perform_all(it, group);
}

// A member that the settings no longer name can neither be fenced nor chosen.
void update_members(failover::group_state& state,
                    const std::vector<core::server_id>& names)
{
    std::map<core::server_id, failover::member_state> members;
    for (const auto& n : names)
        members[n] = state.members[n];
    state.members = std::move(members);
}

group_ptr make_entry(app& it, const settings::settings& of,
                     const core::group_id& id, const settings::group& group)
{
    const auto now = core::runtime_clock::now();
    auto entry = std::make_shared<group_entry>(it.io.get_executor());
    entry->id = id;
    entry->serving = serving::make_group_state(
        to_group_settings(of, id, it.self), it.incarnation);
    entry->failover = failover::make_group(id, it.self, group.members, now);
    entry->failover.limits.member_contact_timeout = member_contact_timeout;
    entry->failover.incarnation = it.incarnation;
    entry->failover.jitter = it.incarnation | 1;
    return entry;
}

}  // namespace
}  // namespace detail

void post(app& it, const group_ptr& group, const serving::event& what)
{
    detail::decide_and_perform(
        it, group,
        [&](core::time_point now)
        { return serving::decide(group->serving, what, now); });
}

void post(app& it, const group_ptr& group, const failover::event& what)
{
    detail::decide_and_perform(
        it, group,
        [&](core::time_point now)
        { return failover::decide(group->failover, what, now); });
}

void serve(app& it, const group_ptr& group, const core::server_id& server,
           const core::request& what, served_handler handler)
{
    {
        std::lock_guard lock(group->mutex);
        group->handlers[what.id] = std::move(handler);
        group->active_until =
            core::runtime_clock::now() + detail::activity_time;
    }
    post(it, group, serving::event(serving::request_arrived{what, server}));
}

void learn_view(app& it, const group_ptr& group, core::term_number term,
                const std::optional<core::server_id>& primary)
{
    post(it, group, serving::event(serving::view_changed{term, primary}));
    post(it, group, failover::event(failover::view_learned{term, primary}));
}

void apply_group_settings(app& it, const settings::settings& of)
{
    for (const auto& [id, group] : of.groups)
    {
        auto entry = find_group(it, id);
        if (!entry)
        {
            entry = detail::make_entry(it, of, id, group);
            std::lock_guard lock(it.groups.mutex);
            it.groups.groups.emplace(id, entry);
            continue;
        }
        std::lock_guard lock(entry->mutex);
        detail::update_members(entry->failover, group.members);
        serving::apply_settings(entry->serving,
                                to_group_settings(of, id, it.self));
    }
    std::lock_guard lock(it.groups.mutex);
    for (auto n = it.groups.groups.begin(); n != it.groups.groups.end();)
        n = of.groups.count(n->first) ? std::next(n)
                                      : it.groups.groups.erase(n);
}

}  // namespace godwitbarrow::proxy
