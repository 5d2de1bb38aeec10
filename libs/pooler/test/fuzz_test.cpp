#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "fuzzing.hpp"
#include "sim/fleet.hpp"

using namespace godwitbarrow;
using namespace godwitbarrow::pooler;

namespace
{

enum class step
{
    read,
    write,
    transaction,
    read_transaction,
    set_value,
    prepared,
    disconnect_caller,
    disconnect_in_transaction,
    wait,
    wait_long,
    crash_primary,
    start_members,
    promote,
    stop_replication,
    slow_replication,
    fail_statements,
    freeze_host,
    restart_host,
    reset_links,
    silence_links,
    lose_answers,
    delay_registry,
    leave_member,
    unreachable,
    clear_faults
};

/// The meaning of the arguments a, b and c depends on the step.
struct command
{
    step what = step::wait;
    unsigned a = 0;
    unsigned b = 0;
    unsigned c = 0;
};

void showValue(const command& it, std::ostream& os)  // NOLINT
{
    os << static_cast<int>(it.what) << '(' << it.a << ',' << it.b << ',' << it.c
       << ')';
}

statement read_of(unsigned item)
{
    return {verb::read, {}, false, "READ " + std::to_string(item % 4)};
}

statement write_of(unsigned item, unsigned value)
{
    return {verb::write,
            {},
            true,
            "WRITE " + std::to_string(item % 4) + " v" + std::to_string(value)};
}

statement plain(verb kind)
{
    return {kind, {}, false, {}};
}

std::deque<statement> transaction(const command& by)
{
    std::deque<statement> out{plain(verb::begin), read_of(by.b)};
    if (by.b % 3 != 0)
        out.push_back(write_of(by.b, by.c));
    out.push_back(read_of(by.c));
    if (by.c % 2 == 0)
        out.push_back(write_of(by.c, by.b));
    out.push_back(plain(by.c % 5 == 0 ? verb::rollback : verb::commit));
    return out;
}

std::deque<statement> prepared(const command& by)
{
    const bool writes = by.b % 2 == 0;
    const auto name = "s" + std::to_string(by.c % 2);
    const auto shape = "shape" + std::to_string(by.b % 3);
    const auto item = std::to_string(by.c % 4);
    return {{verb::prepare, name, writes, shape},
            {verb::execute, name, writes, writes ? item + " p" : item},
            {verb::execute, name, writes, writes ? item + " q" : item}};
}

core::server_id member_of(unsigned n)
{
    return {std::string(1, static_cast<char>('a' + n % 3))};
}

/// Applies a step of a caller. Returns false if the step is a fault.
bool apply_caller(sim::fleet& it, const command& by)
{
    const auto who = by.a % sim::caller_count;
    switch (by.what)
    {
        case step::read:
            sim::start_script(it, who, {read_of(by.b)});
            return true;
        case step::write:
            sim::start_script(it, who, {write_of(by.b, by.c)});
            return true;
        case step::transaction:
            sim::start_script(it, who, transaction(by));
            return true;
        case step::read_transaction:
            sim::start_script(it, who,
                              {plain(verb::begin_read), read_of(by.b),
                               read_of(by.c), plain(verb::commit)});
            return true;
        case step::set_value:
            sim::start_script(it, who,
                              {{verb::set, "n" + std::to_string(by.b % 2),
                                false, "v" + std::to_string(by.c % 3)},
                               read_of(by.c)});
            return true;
        case step::prepared:
            sim::start_script(it, who, prepared(by));
            return true;
        case step::disconnect_caller:
            sim::disconnect_caller(it, who);
            return true;
        case step::disconnect_in_transaction:
            sim::start_script(it, who,
                              {plain(verb::begin), write_of(by.b, by.c)});
            sim::run_for(it, std::chrono::milliseconds(by.c % 60));
            sim::disconnect_caller(it, who);
            return true;
        case step::wait:
            sim::run_for(it, std::chrono::milliseconds(1 + by.a % 40));
            return true;
        case step::wait_long:
            sim::run_for(it, std::chrono::milliseconds(200 + by.a % 1000));
            return true;
        default:
            return false;
    }
}

void apply_fault(sim::fleet& it, const command& by)
{
    const auto host = by.a % sim::host_count;
    auto& member = it.group.members.at(member_of(by.b));
    switch (by.what)
    {
        case step::crash_primary:
            return sim::crash_member(it, it.group.primary, by.a % 2 == 0);
        case step::start_members:
            return sim::start_members(it);
        case step::promote:
            return sim::promote(it, member_of(by.b));
        case step::stop_replication:
            member.receives = !member.receives;
            return;
        case step::slow_replication:
            member.lag = std::chrono::milliseconds(by.c % 900);
            return;
        case step::fail_statements:
            member.failing_percent = by.c % 60;
            return;
        case step::freeze_host:
            return sim::freeze_host(it, host,
                                    std::chrono::milliseconds(by.c % 2000));
        case step::restart_host:
            return sim::restart_host(it, host);
        case step::reset_links:
            return sim::break_links(it, host, false);
        case step::silence_links:
            return sim::break_links(it, host, true);
        case step::lose_answers:
            return sim::lose_answers(it, host);
        case step::delay_registry:
            it.registry_lag = std::chrono::milliseconds(by.c % 3000);
            return;
        case step::leave_member:
            it.leaving = {member_of(by.b)};
            return sim::publish(it);
        case step::unreachable:
            it.reachable = !it.reachable;
            return;
        default:
            return sim::clear_faults(it);
    }
}

rc::Gen<command> any_command()
{
    // Statements and short waits are weighted much higher than faults.
    static const fuzzing::step_weights<step> weights{
        {10, step::read},
        {8, step::write},
        {8, step::transaction},
        {4, step::read_transaction},
        {3, step::set_value},
        {4, step::prepared},
        {1, step::disconnect_caller},
        {1, step::disconnect_in_transaction},
        {20, step::wait},
        {3, step::wait_long},
        {1, step::crash_primary},
        {2, step::start_members},
        {2, step::promote},
        {1, step::stop_replication},
        {1, step::slow_replication},
        {1, step::fail_statements},
        {1, step::freeze_host},
        {1, step::restart_host},
        {1, step::reset_links},
        {1, step::silence_links},
        {1, step::lose_answers},
        {1, step::delay_registry},
        {1, step::leave_member},
        {1, step::unreachable},
        {2, step::clear_faults}};
    return fuzzing::weighted_command<command>(weights);
}

/// Checks that callers of each database are served once all faults are cleared.
void check_recovery(sim::fleet& it)
{
    sim::clear_faults(it);
    sim::run_for(it, std::chrono::seconds(8));
    const auto before = it.succeeded;
    unsigned asked = 0;
    for (unsigned round = 0; round < 4; ++round)
    {
        for (std::size_t n = 0; n < sim::caller_count; ++n, ++asked)
            sim::start_script(it, n, {read_of(round)});
        sim::run_for(it, std::chrono::seconds(1));
    }
    if (it.succeeded - before < asked)
        RC_FAIL("a read is not served after all faults were cleared: " +
                it.last_failure);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(faults_in_any_order)

// RC_PARAMS="seed=N" reproduces a run; GODWITBARROW_FUZZ_CASES sets the number
// of cases. Guards against every incorrect answer: a stale read, a write that
// takes effect twice or after a refusal, statements of one transaction on two
// connections or interleaved with another transaction, and an answer that
// belongs to another statement.
BOOST_AUTO_TEST_CASE(every_answer_to_a_caller_is_correct)
{
    fuzzing::set_cases();
    BOOST_TEST(rc::check(
        [](std::uint32_t seed)
        {
            const auto commands =
                *rc::gen::container<std::vector<command>>(any_command());
            sim::fleet it(seed);
            for (const auto& by : commands)
                if (!apply_caller(it, by))
                    apply_fault(it, by);
            check_recovery(it);
            if (!it.oracle.violations.empty())
                RC_FAIL(it.oracle.violations.front());
        }));
}

BOOST_AUTO_TEST_SUITE_END()
