#include <boost/test/unit_test.hpp>

#include "simulation.hpp"

namespace godwitbarrow::test
{
namespace
{

constexpr auto answer_tolerance = 1ms;

bool contains(const std::vector<std::string>& all, const std::string& value)
{
    return std::find(all.begin(), all.end(), value) != all.end();
}

bool any_call(const std::vector<const call*>& calls, core::access_mode access,
              call_result result)
{
    return std::any_of(calls.begin(), calls.end(),
                       [&](const call* candidate) {
                           return candidate->request.access == access &&
                                  candidate->result == result;
                       });
}

}  // namespace

void simulation::report_violation(const std::string& message)
{
    model.violations.push_back(message);
}

call& simulation::issue(std::size_t session, std::size_t host,
                        std::size_t member, core::request request)
{
    request.id = {"q" + std::to_string(next_id++)};
    request.group = {"quotes"};
    auto& issued = calls[request.id];
    issued.request = request;
    issued.session = session;
    issued.host = host;
    issued.expected_operations = sessions[session].acknowledged;
    if (request.access != core::access_mode::read || !request.token)
        issued.expected_operations.clear();
    deliver(host, serving::request_arrived{request, server_name(member)});
    return issued;
}

void simulation::record_result(call& issued, call_result result)
{
    if (++issued.answers > 1)
        report_violation("P4: " + issued.request.id.value +
                         " was answered more than once");
    if (now > issued.request.deadline + answer_tolerance)
        report_violation(issued.request.id.value +
                         " was answered after its deadline");
    issued.result = result;
}

void simulation::record_completion(call& issued, const core::completed& result)
{
    record_result(issued, call_result::completed);
    auto& session = sessions[issued.session];
    const auto access = issued.request.access;
    if (result.rows.empty() || result.rows[0] != issued.request.statement)
        report_violation("P4: " + issued.request.id.value +
                         " got the rows of another request");
    session.token =
        session.token ? std::max(*session.token, result.at) : result.at;
    if (access == core::access_mode::begin)
    {
        session.transaction = result.transaction;
        session.last_transaction = result.transaction;
        session.transaction_host = issued.host;
    }
    if (access == core::access_mode::read)
        check_read(issued, result);
    const bool writes = core::is_write(access);
    if (writes && result.at.term != hosts[issued.host].state.view.term)
        report_violation("P2: " + issued.request.id.value +
                         " was acknowledged late");
    if (access == core::access_mode::write)
    {
        check_acknowledged(issued);
        session.acknowledged.push_back(issued.request.statement);
        acknowledged.emplace_back(now, issued.request.statement);
    }
    const bool ends = access == core::access_mode::commit ||
                      access == core::access_mode::rollback;
    if (ends && session.transaction == issued.request.transaction)
        session.transaction.reset();
}

void simulation::check_read(const call& issued, const core::completed& result)
{
    if (result.at.term != hosts[issued.host].state.view.term)
        report_violation("term: " + issued.request.id.value +
                         " read data of an old term");
    for (const auto& operation : issued.expected_operations)
        if (!contains(result.rows, operation))
            report_violation("P1: " + issued.request.id.value + " misses " +
                             operation);
    if (!issued.request.max_age)
        return;
    for (const auto& [at, operation] : acknowledged)
        if (at < now - *issued.request.max_age &&
            !contains(result.rows, operation))
            report_violation("age: " + issued.request.id.value + " misses " +
                             operation);
}

/// At least two of the three members must hold a write when it is acknowledged.
void simulation::check_acknowledged(const call& issued)
{
    int copies = 0;
    for (const auto& member : model.members)
        for (const auto& entry : member.log)
            copies +=
                contains(entry.operations, issued.request.statement) ? 1 : 0;
    if (copies < 2)
        report_violation("P2: " + issued.request.statement +
                         " was acknowledged with " + std::to_string(copies) +
                         " copies");
}

void simulation::check_send(std::size_t host,
                            const serving::send_statement& sent)
{
    const auto& state = hosts[host].state;
    const bool in_transaction =
        sent.request.access == core::access_mode::statement ||
        sent.request.access == core::access_mode::commit ||
        sent.request.access == core::access_mode::rollback;
    if (!in_transaction && hosts[host].leaving.count(sent.server) != 0)
        report_violation("P7: " + sent.request.id.value +
                         " was sent to leaving " + sent.server.value);
    std::size_t running = 0;
    for (const auto& [dispatch, id] : state.dispatches)
        if (state.requests.at(id).server == sent.server)
            ++running;
    if (running > slots)
        report_violation("more statements than slots at " + sent.server.value);
    if (state.servers.at(sent.server).pool.connections.size() > connections - 3)
        report_violation("more connections than the limit at " +
                         sent.server.value);
}

/// Ends all faults and runs until every request must have been answered.
void simulation::clear_faults()
{
    faults.clear();
    paused = {};
    for (auto& host : hosts)
    {
        host.cut = {};
        host.isolated = false;
        host.unresponsive.clear();
    }
    for (std::size_t n = 0; n < member_count; ++n)
        follow(model, n);
    // Longer than the idle limit of a transaction plus the rollback limit.
    run_for(15s);
    for (std::size_t n = 0; n < host_count; ++n)
        check_service(n);
    run_for(1s);
}

/// A host must serve writes and reads again after the faults have ended.
void simulation::check_service(std::size_t host)
{
    std::vector<core::server_id> owned;
    for (std::size_t n = 0; n < member_count; ++n)
    {
        owned.push_back(server_name(n));
        deliver(host, serving::server_leaving{server_name(n), false});
    }
    hosts[host].leaving.clear();
    deliver(host, serving::ownership_changed{owned});
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
    if (write.result != call_result::completed ||
        read.result != call_result::completed)
        report_violation("h" + std::to_string(host) +
                         " does not serve requests after the faults ended");
}

int simulation::count_in_log(const std::string& operation) const
{
    int n = 0;
    for (const auto& entry : model.members[model.primary].log)
        for (const auto& logged : entry.operations)
            n += logged == operation ? 1 : 0;
    return n;
}

void simulation::check_write(const std::string& operation,
                             const std::vector<const call*>& calls)
{
    const auto write = core::access_mode::write;
    const bool keyed = calls.front()->request.key.has_value();
    const auto runs = model.executions[operation];
    const auto occurrences = count_in_log(operation);
    if (any_call(calls, write, call_result::completed) && occurrences != 1)
        report_violation("acknowledged " + operation + " is in the log " +
                         std::to_string(occurrences) + " times");
    const bool all_not_run = !any_call(calls, write, call_result::completed) &&
                             !any_call(calls, write, call_result::unknown);
    if (all_not_run && runs != 0)
        report_violation("P5: " + operation +
                         " ran but was reported to its caller as not run");
    if (!keyed && runs > 1)
        report_violation("P6: " + operation + " ran " + std::to_string(runs) +
                         " times");
    if (occurrences > 1)
        report_violation("P6: " + operation + " is in the log more than once");
}

void simulation::check_transaction(const std::vector<const call*>& calls)
{
    const bool committed =
        any_call(calls, core::access_mode::commit, call_result::completed);
    const bool unknown =
        any_call(calls, core::access_mode::commit, call_result::unknown);
    for (const auto* issued : calls)
    {
        const bool reported_lost =
            issued->rolled_back &&
            issued->request.access == core::access_mode::commit;
        for (const auto* other : calls)
            if (reported_lost && model.executions[other->request.statement] > 0)
                report_violation("P5: " + issued->request.id.value +
                                 " reported committed work as rolled back");
        if (issued->request.access != core::access_mode::statement)
            continue;
        const auto& operation = issued->request.statement;
        const auto runs = model.executions[operation];
        const bool completed = issued->result == call_result::completed;
        if (committed && completed && count_in_log(operation) != 1)
            report_violation("committed " + operation +
                             " is not in the log exactly once");
        if (((!committed && !unknown) ||
             issued->result == call_result::not_run) &&
            runs != 0)
            report_violation("P5: " + operation + " ran without a commit");
        if (runs > 1)
            report_violation("P6: " + operation + " ran more than once");
    }
}

void simulation::check_end()
{
    std::map<std::string, std::vector<const call*>> writes;
    std::map<core::transaction_id, std::vector<const call*>> transactions;
    for (const auto& [id, issued] : calls)
    {
        if (issued.answers == 0)
            report_violation(id.value + " was never answered");
        if (issued.request.transaction)
            transactions[*issued.request.transaction].push_back(&issued);
        else if (issued.request.access == core::access_mode::write)
            writes[issued.request.statement].push_back(&issued);
    }
    for (const auto& [operation, operation_calls] : writes)
        check_write(operation, operation_calls);
    for (const auto& [id, operation_calls] : transactions)
        check_transaction(operation_calls);
    for (const auto& host : hosts)
        if (!host.state.requests.empty() || !host.state.timers.empty() ||
            !host.state.dispatches.empty() || !host.state.transactions.empty())
            report_violation(
                "requests, timers, dispatches or transactions remain at the "
                "end");
}

}  // namespace godwitbarrow::test
