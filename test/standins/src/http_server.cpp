#include "godwitbarrow/standins/http_server.hpp"

#include <array>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "godwitbarrow/core/clock.hpp"

namespace godwitbarrow::standins
{

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

struct http_server
{
    http_server(const asio::any_io_executor& executor,
                const std::string& address, std::uint16_t port, http_hooks h)
        : acceptor(executor, {asio::ip::make_address(address), port}),
          hooks(std::move(h))
    {
    }

    tcp::acceptor acceptor;
    http_hooks hooks;
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, http_session_ptr> sessions;
};

struct http_session
{
    http_session(tcp::socket s, http_server_ptr owner, std::uint64_t n)
        : socket(std::move(s)), server(std::move(owner)), number(n)
    {
    }

    tcp::socket socket;
    http_server_ptr server;
    std::uint64_t number;
    boost::beast::flat_buffer buffer;
    std::optional<beast_http::request_parser<beast_http::string_body>> parser;
    beast_http::response<beast_http::string_body> response;
    bool silent = false;
    std::array<char, 512> ignored{};
};

namespace detail
{
namespace
{

constexpr std::uint64_t largest_body_bytes = 64ULL * 1024 * 1024;

void read_request(const http_session_ptr& it);

void end(const http_session_ptr& it)
{
    error_code ec;
    it->socket.close(ec);
    if (it->server->sessions.erase(it->number) > 0 &&
        it->server->hooks.on_close)
        it->server->hooks.on_close(it->number);
}

/// Reads and drops what arrives until the peer closes the connection.
void ignore_input(const http_session_ptr& it)
{
    it->socket.async_read_some(asio::buffer(it->ignored),
                               [it](error_code ec, std::size_t)
                               {
                                   if (ec)
                                       end(it);
                                   else
                                       ignore_input(it);
                               });
}

std::string percent_decode(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        if (text[n] != '%' || n + 2 >= text.size())
        {
            out += text[n];
            continue;
        }
        const std::string digits(text.substr(n + 1, 2));
        out += static_cast<char>(std::stoi(digits, nullptr, 16));
        n += 2;
    }
    return out;
}

std::map<std::string, std::string> parse_query(std::string_view text)
{
    std::map<std::string, std::string> query;
    while (!text.empty())
    {
        const auto end_of_field = text.find('&');
        const auto field = text.substr(0, end_of_field);
        const auto equals = field.find('=');
        if (equals != std::string_view::npos)
            query.emplace(field.substr(0, equals),
                          percent_decode(field.substr(equals + 1)));
        text = end_of_field == std::string_view::npos
                   ? std::string_view()
                   : text.substr(end_of_field + 1);
    }
    return query;
}

http_request to_request(beast_http::request<beast_http::string_body>&& message)
{
    http_request r;
    r.verb = std::string(message.method_string());
    const std::string target(message.target());
    const auto mark = target.find('?');
    r.path = target.substr(0, mark);
    if (mark != std::string::npos)
        r.query = parse_query(std::string_view(target).substr(mark + 1));
    for (const auto& field : message)
        r.headers[boost::algorithm::to_lower_copy(
            std::string(field.name_string()))] = std::string(field.value());
    r.body = std::move(message.body());
    return r;
}

void take_request(const http_session_ptr& it)
{
    if (it->silent)
        return ignore_input(it);
    it->server->hooks.on_request(it, to_request(it->parser->release()));
}

void read_request(const http_session_ptr& it)
{
    it->parser.emplace();
    it->parser->body_limit(largest_body_bytes);
    beast_http::async_read(it->socket, it->buffer, *it->parser,
                           [it](error_code ec, std::size_t)
                           {
                               if (ec)
                                   end(it);
                               else
                                   take_request(it);
                           });
}

void write_reply(const http_session_ptr& it, http_reply&& answer)
{
    if (it->silent)
        return ignore_input(it);
    it->response = {};
    it->response.version(11);
    it->response.result(answer.code);
    it->response.set(beast_http::field::content_type, "application/json");
    for (const auto& [name, value] : answer.headers)
        it->response.set(name, value);
    it->response.keep_alive(!answer.close_after);
    it->response.body() = std::move(answer.body);
    it->response.prepare_payload();
    beast_http::async_write(it->socket, it->response,
                            [it](error_code ec, std::size_t)
                            {
                                if (ec || !it->response.keep_alive())
                                    end(it);
                                else
                                    read_request(it);
                            });
}

void accept_sessions(const http_server_ptr& it)
{
    it->acceptor.async_accept(
        [it](error_code ec, tcp::socket socket)
        {
            if (ec == asio::error::operation_aborted)
                return;
            if (!ec)
            {
                socket.set_option(tcp::no_delay(true), ec);
                const auto n = ++it->last_number;
                auto s =
                    std::make_shared<http_session>(std::move(socket), it, n);
                it->sessions.emplace(n, s);
                read_request(s);
            }
            accept_sessions(it);
        });
}

}  // namespace
}  // namespace detail

http_server_ptr listen(const asio::any_io_executor& executor,
                       const std::string& address, std::uint16_t port,
                       http_hooks hooks)
{
    auto it = std::make_shared<http_server>(executor, address, port,
                                            std::move(hooks));
    detail::accept_sessions(it);
    return it;
}

std::uint16_t port_of(const http_server_ptr& it)
{
    return it->acceptor.local_endpoint().port();
}

std::uint64_t number_of(const http_session_ptr& it)
{
    return it->number;
}

void reply(const http_session_ptr& it, http_reply answer,
           std::chrono::milliseconds delay)
{
    call_after(it->socket.get_executor(), delay,
               [it, answer = std::move(answer)]() mutable
               { detail::write_reply(it, std::move(answer)); });
}

void drop(const http_session_ptr& it)
{
    detail::end(it);
}

void silence_sessions(const http_server_ptr& it, const http_session_ptr& except)
{
    for (const auto& [number, session] : it->sessions)
        if (session != except)
            session->silent = true;
}

void stop(const http_server_ptr& it)
{
    error_code ec;
    it->acceptor.close(ec);
    const auto open = it->sessions;
    for (const auto& [number, session] : open)
        detail::end(session);
}

void call_after(const asio::any_io_executor& executor,
                std::chrono::milliseconds delay, std::function<void()> action)
{
    if (delay <= delay.zero())
        return action();
    const auto t = std::make_shared<core::timer>(executor, delay);
    t->async_wait([t, action = std::move(action)](error_code) { action(); });
}

}  // namespace godwitbarrow::standins
