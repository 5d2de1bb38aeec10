#include <boost/test/unit_test.hpp>

#include "world.hpp"

namespace godwitbarrow::test
{
namespace
{

constexpr auto answer_tolerance = 1ms;

bool contains(const std::vector<std::string>& all, const std::string& it)
{
    return std::find(all.begin(), all.end(), it) != all.end();
}

bool any(const std::vector<const call*>& calls, core::access_mode access,
         told result)
{
    return std::any_of(
        calls.begin(), calls.end(),
        [&](const call* it)
        { return it->request.access == access && it->result == result; });
}

}  // namespace

void world::violate(const std::string& what)
{
    model.violations.push_back(what);
}

call& world::issue(std::size_t session, std::size_t host, std::size_t member,
                   core::request request)
{
    request.id = {"q" + std::to_string(next_id++)};
    request.group = {"quotes"};
    auto& it = calls[request.id];
    it.request = request;
    it.session = session;
    it.host = host;
    it.must_see = sessions[session].acknowledged;
    if (request.access != core::access_mode::read || !request.token)
        it.must_see.clear();
    give(host, serving::request_arrived{request, server_name(member)});
    return it;
}

void world::settle(call& it, told result)
{
    if (++it.answers > 1)
        violate("P4: " + it.request.id.value + " was answered twice");
    if (now > it.request.deadline + answer_tolerance)
        violate(it.request.id.value + " was answered after its deadline");
    it.result = result;
}

void world::complete(call& it, const core::completed& result)
{
    settle(it, told::completed);
    auto& session = sessions[it.session];
    const auto access = it.request.access;
    if (result.rows.empty() || result.rows[0] != it.request.statement)
        violate("P4: " + it.request.id.value + " got the rows of another");
    session.token =
        session.token ? std::max(*session.token, result.at) : result.at;
    if (access == core::access_mode::begin)
    {
        session.transaction = result.transaction;
        session.last_transaction = result.transaction;
        session.transaction_host = it.host;
    }
    if (access == core::access_mode::read)
        check_read(it, result);
    const bool writes = core::is_write(access);
    if (writes && result.at.term != hosts[it.host].state.view.term)
        violate("P2: " + it.request.id.value + " was acknowledged late");
    if (access == core::access_mode::write)
    {
        check_acknowledged(it);
        session.acknowledged.push_back(it.request.statement);
        acknowledged.emplace_back(now, it.request.statement);
    }
    const bool ends = access == core::access_mode::commit ||
                      access == core::access_mode::rollback;
    if (ends && session.transaction == it.request.transaction)
        session.transaction.reset();
}

void world::check_read(const call& it, const core::completed& result)
{
    if (result.at.term != hosts[it.host].state.view.term)
        violate("term: " + it.request.id.value + " read an old term");
    for (const auto& operation : it.must_see)
        if (!contains(result.rows, operation))
            violate("P1: " + it.request.id.value + " misses " + operation);
    if (!it.request.max_age)
        return;
    for (const auto& [at, operation] : acknowledged)
        if (at < now - *it.request.max_age && !contains(result.rows, operation))
            violate("age: " + it.request.id.value + " misses " + operation);
}

/// Two of three members hold the write when its caller learns of it.
void world::check_acknowledged(const call& it)
{
    int holders = 0;
    for (const auto& member : model.members)
        for (const auto& entry : member.log)
            holders += contains(entry.operations, it.request.statement) ? 1 : 0;
    if (holders < 2)
        violate("P2: " + it.request.statement + " was acknowledged with " +
                std::to_string(holders) + " holders");
}

void world::check_send(std::size_t host, const serving::send_statement& it)
{
    const auto& state = hosts[host].state;
    const bool inside = it.request.access == core::access_mode::statement ||
                        it.request.access == core::access_mode::commit ||
                        it.request.access == core::access_mode::rollback;
    if (!inside && hosts[host].leaving.count(it.server) != 0)
        violate("P7: " + it.request.id.value + " was sent to leaving " +
                it.server.value);
    std::size_t running = 0;
    for (const auto& [dispatch, id] : state.dispatches)
        if (state.requests.at(id).server == it.server)
            ++running;
    if (running > slots)
        violate("more statements than slots at " + it.server.value);
    if (state.servers.at(it.server).pool.connections.size() > connections - 3)
        violate("more connections than the limit at " + it.server.value);
}

/// Ends all faults and waits until everything must be answered.
void world::heal()
{
    faults.clear();
    paused = {};
    for (auto& host : hosts)
    {
        host.cut = {};
        host.isolated = false;
        host.silent.clear();
    }
    for (std::size_t n = 0; n < member_count; ++n)
        follow(model, n);
    // Longer than the idle limit of a transaction and its rollback.
    run_for(15s);
    for (std::size_t n = 0; n < host_count; ++n)
        check_service(n);
    run_for(1s);
}

/// A host without faults serves writes and reads again.
void world::check_service(std::size_t host)
{
    std::vector<core::server_id> owned;
    for (std::size_t n = 0; n < member_count; ++n)
    {
        owned.push_back(server_name(n));
        give(host, serving::server_leaving{server_name(n), false});
    }
    hosts[host].leaving.clear();
    give(host, serving::ownership_changed{owned});
    run_for(500ms);
    core::request request;
    request.deadline = now + 3s;
    request.statement = "s0:last" + std::to_string(host);
    request.access = core::access_mode::write;
    const auto& write = issue(0, host, model.primary, request);
    run_for(500ms);
    request.access = core::access_mode::read;
    request.deadline = now + 3s;
    request.token = sessions[0].token;
    const auto& read =
        issue(0, host, (model.primary + 1) % member_count, request);
    run_for(500ms);
    if (write.result != told::completed || read.result != told::completed)
        violate("h" + std::to_string(host) + " does not serve after healing");
}

int world::count_in_log(const std::string& operation) const
{
    int n = 0;
    for (const auto& entry : model.members[model.primary].log)
        for (const auto& it : entry.operations)
            n += it == operation ? 1 : 0;
    return n;
}

void world::check_write(const std::string& operation,
                        const std::vector<const call*>& calls)
{
    const auto write = core::access_mode::write;
    const bool keyed = calls.front()->request.key.has_value();
    const auto runs = model.executions[operation];
    const auto present = count_in_log(operation);
    if (any(calls, write, told::completed) && present != 1)
        violate("acknowledged " + operation + " is there " +
                std::to_string(present) + " times");
    const bool never = !any(calls, write, told::completed) &&
                       !any(calls, write, told::unknown);
    if (never && runs != 0)
        violate("P5: " + operation + " ran but its caller was told not run");
    if (!keyed && runs > 1)
        violate("P6: " + operation + " ran " + std::to_string(runs) + " times");
    if (present > 1)
        violate("P6: " + operation + " is there more than once");
}

void world::check_transaction(const std::vector<const call*>& calls)
{
    const bool committed =
        any(calls, core::access_mode::commit, told::completed);
    const bool unknown = any(calls, core::access_mode::commit, told::unknown);
    for (const auto* it : calls)
    {
        const bool told_lost =
            it->rolled_back && it->request.access == core::access_mode::commit;
        for (const auto* other : calls)
            if (told_lost && model.executions[other->request.statement] > 0)
                violate("P5: " + it->request.id.value +
                        " was told that committed work was rolled back");
        if (it->request.access != core::access_mode::statement)
            continue;
        const auto& operation = it->request.statement;
        const auto runs = model.executions[operation];
        const bool done = it->result == told::completed;
        if (committed && done && count_in_log(operation) != 1)
            violate("committed " + operation + " is not there once");
        if (((!committed && !unknown) || it->result == told::not_run) &&
            runs != 0)
            violate("P5: " + operation + " ran without a commit");
        if (runs > 1)
            violate("P6: " + operation + " ran more than once");
    }
}

void world::check_end()
{
    std::map<std::string, std::vector<const call*>> writes;
    std::map<core::transaction_id, std::vector<const call*>> transactions;
    for (const auto& [id, it] : calls)
    {
        if (it.answers == 0)
            violate(id.value + " was never answered");
        if (it.request.transaction)
            transactions[*it.request.transaction].push_back(&it);
        else if (it.request.access == core::access_mode::write)
            writes[it.request.statement].push_back(&it);
    }
    for (const auto& [operation, its_calls] : writes)
        check_write(operation, its_calls);
    for (const auto& [id, its_calls] : transactions)
        check_transaction(its_calls);
    for (const auto& host : hosts)
        if (!host.state.requests.empty() || !host.state.timers.empty() ||
            !host.state.dispatches.empty() || !host.state.transactions.empty())
            violate("work is left behind at the end");
}

}  // namespace godwitbarrow::test
