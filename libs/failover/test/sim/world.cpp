#include "world.hpp"

namespace godwitbarrow::failover::sim
{

std::unique_ptr<world> make_world(const simulation_config& config)
{
    auto w = std::make_unique<world>();
    w->config = config;
    w->random.seed(config.seed);
    w->store.delay = config.store_delay;
    w->store.row = {{1, server_name(0), {"initial"}}, 1};
    w->members.resize(member_count);
    w->hosts.resize(host_count);
    for (int m = 0; m < member_count; ++m)
    {
        w->members[m].status.term = 1;
        w->members[m].status.log_term = 1;
        w->members[m].following = 0;
        w->members[m].last_contact = w->now;
        start_member(*w, m);
    }
    w->members[0].status.role = core::member_role::primary;
    w->promoted[1] = 0;
    for (int h = 0; h < host_count; ++h)
        start_host(*w, h);
    return w;
}

void schedule(world& w, core::time_point t, std::function<void()> run)
{
    w.event_queue.push({t, ++w.last_task_number, std::move(run)});
}

void after(world& w, core::duration length, std::function<void()> run)
{
    schedule(w, w.now + length, std::move(run));
}

std::uint64_t random_below(world& w, std::uint64_t bound)
{
    return w.random() % bound;
}

bool run_until(world& w, core::duration limit,
               const std::function<bool()>& done)
{
    const auto end = w.now + limit;
    while (!w.event_queue.empty() && w.event_queue.top().at <= end)
    {
        auto task = w.event_queue.top();
        w.event_queue.pop();
        w.now = task.at;
        task.run();
        if (!w.violations.empty())
            return false;
        if (done())
            return true;
    }
    w.now = end;
    return done();
}

void run_for(world& w, core::duration length)
{
    run_until(w, length, [] { return false; });
}

}  // namespace godwitbarrow::failover::sim
