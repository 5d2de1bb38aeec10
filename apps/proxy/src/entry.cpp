#include "entry.hpp"

#include <algorithm>

#include "entry_request.hpp"
#include "group_runner.hpp"
#include "peers.hpp"
#include "roles.hpp"

namespace godwitbarrow::proxy
{

/// One request of a caller. Only one attempt runs at a time; its result and
/// the timer are serialised by `mutex`.
struct entry_call
{
    entry_call(app& a, const boost::asio::any_io_executor& executor)
        : it(a), timer(executor)
    {
    }

    app& it;
    gateway::responder respond;
    core::request request;
    /// Id that the caller knows.
    core::request_id caller_id;
    session::token token;
    settings_ptr settings;
    group_ptr group;
    core::time_point started;
    std::vector<core::server_id> candidates;
    std::size_t next_candidate = 0;
    unsigned attempt = 0;
    core::timer timer;

    core::ordered_mutex<core::lock_level::transactions> mutex;
    /// Number of the attempt whose result is awaited; 0 after the answer.
    unsigned awaited = 0;
    /// Last reason why the request was not run.
    core::not_run last_reason;
    /// An attempt was lost and may have taken effect.
    bool possibly_ran = false;
};

namespace detail
{
namespace
{

using call_ptr = std::shared_ptr<entry_call>;

/// Pause before the candidates are tried again, for example while a promotion
/// is under way.
constexpr std::chrono::milliseconds retry_pause{25};
/// Time beyond the deadline for an answer that is on its way.
constexpr std::chrono::milliseconds answer_grace{250};

void try_next(const call_ptr& call);

// After an attempt that may have taken effect, "not run" would be a guess.
core::outcome final_outcome(const call_ptr& call, const core::outcome& result)
{
    const auto* reason = std::get_if<core::not_run>(&result);
    if (reason == nullptr || !call->possibly_ran)
        return result;
    return core::outcome_unknown{
        {reason->reason.kind,
         reason->reason.message +
             "; an earlier attempt may have taken effect: repeat the request "
             "with the same idempotency key"}};
}

void finish(const call_ptr& call, const core::outcome& last)
{
    auto& it = call->it;
    const auto result = final_outcome(call, last);
    count_result(it, call->settings, call->request, result, call->started);
    log_result(call->caller_id, call->request, result);
    if (const auto* n = std::get_if<core::completed>(&result))
        session::advance(call->token, call->request.group, n->at);
    const auto token = session::encode(call->token);
    call->respond(result, ok(token) ? std::get<std::string>(token) : "");
}

// Whether this result ends the wait for attempt `n`; later ones are ignored.
bool take_result(const call_ptr& call, unsigned n)
{
    std::lock_guard lock(call->mutex);
    if (call->awaited != n)
        return false;
    call->awaited = 0;
    return true;
}

// Reasons that may pass within the deadline, such as a promotion under way.
bool is_passing(core::error_kind it)
{
    switch (it)
    {
        case core::error_kind::no_primary:
        case core::error_kind::owner_unreachable:
        case core::error_kind::fenced:
        case core::error_kind::draining:
        case core::error_kind::no_connection:
        case core::error_kind::connection_lost:
        case core::error_kind::stale_token:
        case core::error_kind::unknown_group:
            return true;
        default:
            return false;
    }
}

void retry_later(const call_ptr& call)
{
    const auto now = core::runtime_clock::now();
    if (now + retry_pause >= call->request.deadline)
        return finish(call, call->last_reason);
    telemetry::count_retry(*call->it.metrics, call->request.importance);
    call->timer.expires_after(retry_pause);
    call->timer.async_wait(
        [call](boost::system::error_code)
        {
            call->candidates.clear();
            try_next(call);
        });
}

void on_not_run(const call_ptr& call, const core::not_run& what)
{
    call->last_reason = what;
    if (!is_passing(what.reason.kind))
        return finish(call, what);
    if (call->next_candidate < call->candidates.size())
        return try_next(call);
    retry_later(call);
}

void on_redirect(const call_ptr& call, const serving::redirect& what)
{
    if (what.primary)
        learn_view(call->it, call->group, what.term, what.primary);
    call->last_reason = {what.reason, std::chrono::milliseconds(100)};
    if (call->next_candidate < call->candidates.size())
        return try_next(call);
    retry_later(call);
}

void on_link_lost(const call_ptr& call)
{
    call->possibly_ran = true;
    call->last_reason = {{core::error_kind::connection_lost,
                          "the server owner was lost; repeat the request"},
                         std::chrono::milliseconds(100)};
    if (core::is_repeatable(call->request))
        return retry_later(call);
    finish(call,
           core::outcome_unknown{
               {core::error_kind::connection_lost,
                "the server owner was lost after it got the request; read the "
                "data to learn whether it took effect"}});
}

// The new primary may belong to another owner, which the one that lost the
// reply could not ask.
void on_unknown(const call_ptr& call, const core::outcome_unknown& what)
{
    if (!core::is_repeatable(call->request))
        return finish(call, what);
    call->possibly_ran = true;
    call->last_reason = {what.reason, std::chrono::milliseconds(100)};
    retry_later(call);
}

void on_result(const call_ptr& call, unsigned n,
               const std::optional<served>& result)
{
    if (!take_result(call, n))
        return;
    call->timer.cancel();
    if (!result)
        return on_link_lost(call);
    if (const auto* redirect = std::get_if<serving::redirect>(&*result))
        return on_redirect(call, *redirect);
    const auto& outcome = std::get<core::outcome>(*result);
    if (const auto* reason = std::get_if<core::not_run>(&outcome))
        return on_not_run(call, *reason);
    if (const auto* reason = std::get_if<core::outcome_unknown>(&outcome))
        return on_unknown(call, *reason);
    finish(call, outcome);
}

void on_timeout(const call_ptr& call, unsigned n)
{
    if (!take_result(call, n))
        return;
    forget_forwarded(call->it, call->request.id);
    finish(call,
           core::outcome_unknown{
               {core::error_kind::deadline_exceeded,
                "no answer came before the deadline; read the data, or repeat "
                "the request with the same idempotency key"}});
}

void await(const call_ptr& call, unsigned n)
{
    call->timer.expires_at(call->request.deadline + answer_grace);
    call->timer.async_wait(
        [call, n](boost::system::error_code ec)
        {
            if (!ec)
                on_timeout(call, n);
        });
}

void send_to_owner(const call_ptr& call, const core::host_id& owner,
                   const core::server_id& server)
{
    const unsigned n = ++call->attempt;
    call->request.id = attempt_request_id(call->it, call->caller_id, n);
    {
        std::lock_guard lock(call->mutex);
        call->awaited = n;
    }
    await(call, n);
    if (owner == call->it.self)
        return serve(call->it, call->group, server, call->request,
                     [call, n](const served& result)
                     { on_result(call, n, result); });
    forward(call->it, owner, server, call->request,
            [call, n](const std::optional<served>& result)
            { on_result(call, n, result); });
}

void no_candidate(const call_ptr& call)
{
    call->last_reason = {{core::error_kind::no_primary,
                          "no member of the group can serve the request "
                          "now; repeat it after the pause"},
                         std::chrono::milliseconds(250)};
    retry_later(call);
}

void try_next(const call_ptr& call)
{
    if (core::runtime_clock::now() >= call->request.deadline)
        return finish(call, call->last_reason);
    if (call->candidates.empty())
    {
        call->candidates = list_candidates(call->it, *call->settings,
                                           call->group, call->request);
        call->next_candidate = 0;
    }
    if (call->next_candidate >= call->candidates.size())
        return no_candidate(call);
    const auto server = call->candidates[call->next_candidate++];
    const auto owner = call->request.transaction
                           ? host_of_transaction(*call->request.transaction)
                           : owner_of_server(call->it, server);
    if (!owner)
        return no_candidate(call);
    send_to_owner(call, *owner, server);
}

}  // namespace
}  // namespace detail

void handle_request(app& it, gateway::parsed_request what,
                    gateway::responder respond)
{
    auto call = std::make_shared<entry_call>(it, it.io.get_executor());
    call->respond = std::move(respond);
    call->started = core::runtime_clock::now();
    call->settings = current_settings(it);
    call->caller_id = what.request.id;
    call->group = find_group(it, what.request.group);
    if (const auto problem = complete_request(*call->settings, what))
        return call->respond(core::not_run{*problem, std::nullopt}, "");
    call->request = std::move(what.request);
    auto token = session::parse_token(what.token);
    if (!ok(token))
        return call->respond(
            core::not_run{std::get<core::error>(token), std::nullopt}, "");
    call->token = std::get<session::token>(std::move(token));
    if (const auto problem = check_token_room(call->token, call->request.group))
        return call->respond(core::not_run{*problem, std::nullopt}, "");
    call->request.token =
        session::position_in(call->token, call->request.group);
    if (!admit_team(it, call->settings, call->request.kind))
        return call->respond(team_limit_reached(call->request.kind), "");
    detail::try_next(call);
}

}  // namespace godwitbarrow::proxy
