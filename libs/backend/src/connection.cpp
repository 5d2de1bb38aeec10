#include "godwitbarrow/backend/connection.hpp"

#include <utility>

#include "godwitbarrow/backend/codec.hpp"
#include "godwitbarrow/http/link.hpp"

namespace godwitbarrow::backend
{

struct connection
{
    explicit connection(http::link_ptr l) : link(std::move(l)) {}

    http::link_ptr link;
};

namespace detail
{
namespace
{

using std::chrono::milliseconds;

/// Sends a call that is not a statement and decodes its answer. Closes the
/// connection if the answer cannot be understood or says that the connection
/// is refused.
template <class T, class Decode>
void ask(const connection_ptr& it, const http::call& call,
         core::time_point reply_by, Decode decode,
         std::function<void(core::result<T>)> handler)
{
    const auto answered = [it, decode, handler = std::move(handler)](
                              const http::exchange_result& r)
    {
        if (const auto* f = std::get_if<http::failure>(&r))
            return handler(
                core::error{core::error_kind::connection_lost, f->message});
        const auto& a = std::get<http::answer>(r);
        core::result<T> result = decode(a.code, a.body);
        const auto* e = std::get_if<core::error>(&result);
        if (e && e->kind != core::error_kind::fenced)
            close(it);
        handler(std::move(result));
    };
    http::exchange(it->link, call, reply_by, answered);
}

core::result<std::monostate> decode_probe(unsigned code, std::string_view body)
{
    auto r = decode_status(code, body);
    if (auto* e = std::get_if<core::error>(&r))
        return std::move(*e);
    return std::monostate{};
}

/// A status request that does not wait has no effect and takes no slot.
http::call probe_call()
{
    return {http::method::get, status_path(0, milliseconds(0)), {}};
}

void probe_until(const connection_ptr& it, core::time_point t,
                 const probe_handler& handler)
{
    ask<std::monostate>(it, probe_call(), t, decode_probe, handler);
}

void first_probe(const connection_ptr& it, core::time_point t,
                 const connection_handler& handler)
{
    const auto probed = [it, handler](const core::result<std::monostate>& r)
    {
        if (const auto* e = std::get_if<core::error>(&r))
        {
            close(it);
            return handler(
                core::error{core::error_kind::no_connection, e->message});
        }
        handler(it);
    };
    probe_until(it, t, probed);
}

execute_result to_execute_result(const connection_ptr& it,
                                 http::exchange_result&& r)
{
    if (auto* f = std::get_if<http::failure>(&r))
        return send_failure{f->any_byte_sent, std::move(f->message)};
    const auto& a = std::get<http::answer>(r);
    auto reply = decode_reply(a.code, a.body);
    if (auto* e = std::get_if<core::error>(&reply))
    {
        close(it);
        return send_failure{true, std::move(e->message)};
    }
    return std::get<core::backend_reply>(std::move(reply));
}

void post_for_status(const connection_ptr& it, const char* path,
                     std::string body, milliseconds timeout,
                     const status_handler& handler)
{
    ask<core::member_status>(it, {http::method::post, path, std::move(body)},
                             core::runtime_clock::now() + timeout,
                             decode_status, handler);
}

}  // namespace
}  // namespace detail

void open_connection(const boost::asio::any_io_executor& executor,
                     const core::endpoint& server,
                     std::chrono::milliseconds timeout,
                     const connection_handler& handler)
{
    const auto t = core::runtime_clock::now() + timeout;
    const auto connected = [t, handler](const core::result<http::link_ptr>& r)
    {
        if (const auto* e = std::get_if<core::error>(&r))
            return handler(*e);
        const auto& l = std::get<http::link_ptr>(r);
        detail::first_probe(std::make_shared<connection>(l), t, handler);
    };
    http::open_link(executor, server, timeout, connected);
}

void execute(const connection_ptr& it, const statement_call& call,
             core::time_point reply_by, const execute_handler& handler)
{
    http::exchange(
        it->link, {http::method::post, "/execute", encode_call(call)}, reply_by,
        [it, handler](http::exchange_result r)
        { handler(detail::to_execute_result(it, std::move(r))); });
}

void read_status(const connection_ptr& it, core::log_number after,
                 std::chrono::milliseconds wait,
                 std::chrono::milliseconds timeout,
                 const status_handler& handler)
{
    detail::ask<core::member_status>(
        it, {http::method::get, status_path(after, wait), {}},
        core::runtime_clock::now() + timeout, decode_status, handler);
}

void fence(const connection_ptr& it, core::term_number term,
           const core::attempt_id& attempt, std::chrono::milliseconds timeout,
           const status_handler& handler)
{
    detail::post_for_status(it, "/fence", encode_attempt(term, attempt),
                            timeout, handler);
}

void promote(const connection_ptr& it, core::term_number term,
             const core::attempt_id& attempt, std::chrono::milliseconds timeout,
             const status_handler& handler)
{
    detail::post_for_status(it, "/promote", encode_attempt(term, attempt),
                            timeout, handler);
}

void follow(const connection_ptr& it, core::term_number term,
            const core::server_id& primary, std::chrono::milliseconds timeout,
            const status_handler& handler)
{
    detail::post_for_status(it, "/follow", encode_follow(term, primary),
                            timeout, handler);
}

void lookup(const connection_ptr& it, const core::idempotency_key& key,
            std::chrono::milliseconds timeout, const lookup_handler& handler)
{
    detail::ask<lookup_answer>(
        it, {http::method::post, "/lookup", encode_lookup(key)},
        core::runtime_clock::now() + timeout, decode_lookup, handler);
}

void probe(const connection_ptr& it, std::chrono::milliseconds timeout,
           const probe_handler& handler)
{
    detail::probe_until(it, core::runtime_clock::now() + timeout, handler);
}

void close(const connection_ptr& it)
{
    http::close(it->link);
}

bool is_open(const connection_ptr& it)
{
    return http::is_open(it->link);
}

}  // namespace godwitbarrow::backend
