#include <algorithm>
#include <boost/asio/strand.hpp>
#include <mutex>

#include "caller_guard.hpp"
#include "godwitbarrow/platform/caller_wire.hpp"
#include "godwitbarrow/telemetry/log.hpp"
#include "links.hpp"
#include "relay.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

using tcp = boost::asio::ip::tcp;

/// After a failed accept, for example for want of descriptors.
constexpr std::chrono::milliseconds accept_back_off{50};
constexpr int receive_buffer_bytes = 64 * 1024;

stream::connection_ptr find_caller(app& it, pooler::session_number session)
{
    std::lock_guard lock(it.links.mutex);
    const auto n = it.links.callers.find(session);
    return n == it.links.callers.end() ? nullptr : n->second;
}

stream::connection_ptr take_caller(app& it, pooler::session_number session)
{
    std::lock_guard lock(it.links.mutex);
    const auto n = it.links.callers.find(session);
    if (n == it.links.callers.end())
        return nullptr;
    auto out = n->second;
    it.links.callers.erase(n);
    return out;
}

void drop_closed(link_table& links)
{
    auto& all = links.closing;
    all.erase(std::remove_if(all.begin(), all.end(),
                             [](const auto& c) { return c.expired(); }),
              all.end());
}

/// Closes the connection once its last answer is sent. Until then it keeps the
/// process from ending.
void close_when_sent(app& it, const stream::connection_ptr& c)
{
    {
        std::lock_guard lock(it.links.mutex);
        drop_closed(it.links);
        it.links.closing.push_back(c);
    }
    stream::close_after_sending(c);
}

void add_caller(app& it, tcp::socket socket)
{
    const auto session = ++it.last_session;
    stream::handlers on;
    on.received = [&it, session, started = false](std::string_view line) mutable
    {
        if (!relay_line(it, session, line))
            take_caller_line(it, session, started, line, false);
    };
    on.closed = [&it, session](const std::string&)
    {
        disconnect_caller(it, session);
    };
    on.holds = [&it, session](std::size_t bytes)
    {
        note_buffered(it, session, bytes);
    };
    on.ended = [&it, session]
    {
        remove_from_guard(it, session);
    };
    const auto c =
        stream::adopt(std::move(socket), std::move(on), caller_stream_limits());
    add_to_guard(it, session, c);
    {
        std::lock_guard lock(it.links.mutex);
        it.links.callers.emplace(session, c);
    }
    stream::start(c);
}

void accept_next(app& it);

void accept_later(app& it)
{
    const auto pause = std::make_shared<core::timer>(it.io, accept_back_off);
    pause->async_wait(
        [&it, pause](boost::system::error_code ec)
        {
            if (!ec)
                accept_next(it);
        });
}

void accept_next(app& it)
{
    it.acceptor.async_accept(
        [&it](boost::system::error_code ec, tcp::socket socket)
        {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (ec)
            {
                telemetry::log_event(telemetry::log_level::warning,
                                     "cannot accept a caller",
                                     {{"reason", ec.message()}});
                make_room_for_caller(it);
                return accept_later(it);
            }
            if (make_room_for_caller(it))
                add_caller(it, std::move(socket));
            accept_next(it);
        });
}

}  // namespace
}  // namespace detail

core::result<std::monostate> listen_for_callers(app& it)
{
    boost::system::error_code ec;
    const auto& at = it.settings.callers;
    const auto address = boost::asio::ip::make_address(at.address, ec);
    const detail::tcp::endpoint to(address, at.port);
    if (!ec)
        it.acceptor.open(to.protocol(), ec);
    if (!ec)
        it.acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                               ec);
    // What a caller sends ahead waits in the memory of the machine, too. The
    // connections inherit the size.
    if (!ec)
        it.acceptor.set_option(boost::asio::socket_base::receive_buffer_size(
                                   detail::receive_buffer_bytes),
                               ec);
    if (!ec)
        it.acceptor.bind(to, ec);
    if (!ec)
        it.acceptor.listen(boost::asio::socket_base::max_listen_connections,
                           ec);
    if (ec)
        return core::error{core::error_kind::invalid_settings,
                           "cannot listen on " + core::to_string(at) + " (" +
                               ec.message() + "); free the address"};
    detail::accept_next(it);
    return std::monostate{};
}

void disconnect_caller(app& it, pooler::session_number session)
{
    if (const auto c = detail::take_caller(it, session))
        stream::close(c);
    else
        close_relayed(it, session);
    if (!end_relayed_caller(it, session))
        handle(it, pooler::caller_disconnected{session});
}

void take_caller_line(app& it, pooler::session_number session, bool& started,
                      std::string_view line, bool relayed)
{
    auto parsed = platform::parse_caller_line(line);
    auto* message = std::get_if<platform::caller_message>(&parsed);
    if (!message || std::holds_alternative<platform::terminate>(*message))
        return disconnect_caller(it, session);
    const auto* first = std::get_if<platform::startup>(message);
    if ((first != nullptr) == started)
        return disconnect_caller(it, session);
    started = true;
    if (!first)
    {
        note_statement(it, session, line.size());
        return handle(
            it, pooler::caller_query{
                    session, std::get<pooler::query>(std::move(*message))});
    }
    note_started(it, session);
    if (!relayed && relay_session(it, session, first->database, line))
        return;
    handle(it, pooler::caller_started{session, first->database, first->key,
                                      relayed});
}

void send_to_caller(app& it, pooler::session_number session, std::string bytes)
{
    if (const auto c = detail::find_caller(it, session))
        stream::send(c, std::move(bytes));
}

void accept(app& it, const pooler::accept_caller& what)
{
    auto bytes = platform::encode_accepted();
    if (!answer_relayed(it, what.session, bytes, true))
        send_to_caller(it, what.session, std::move(bytes));
}

void refuse(app& it, const pooler::refuse_caller& what)
{
    telemetry::count_refusal(*it.metrics, pooler::to_string(what.reason.code));
    auto bytes = platform::encode_refusal(what.reason);
    if (!answer_relayed(it, what.session, bytes, true))
        send_to_caller(it, what.session, std::move(bytes));
    close_session(it, what.session);
}

void reply(app& it, const pooler::reply_to_caller& what)
{
    const bool idle = what.reply.state == pooler::session_state::idle;
    note_answer(it, what.session, what.stored_bytes, !idle);
    auto bytes = platform::encode_answer(what.reply);
    if (!answer_relayed(it, what.session, bytes, idle))
        send_to_caller(it, what.session, std::move(bytes));
}

void close_session(app& it, pooler::session_number session)
{
    if (const auto c = detail::take_caller(it, session))
        detail::close_when_sent(it, c);
    else
        close_relayed(it, session);
}

bool has_unsent_answers(app& it)
{
    std::lock_guard lock(it.links.mutex);
    detail::drop_closed(it.links);
    return !it.links.closing.empty();
}

}  // namespace godwitbarrow::proxy::pooled
