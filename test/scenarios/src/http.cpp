#include "http.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>

namespace scenario
{
namespace detail
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

struct exchange
{
    asio::io_context io;
    beast::tcp_stream stream{io};
    beast::flat_buffer buf;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    beast::error_code ec = asio::error::would_block;
    bool connected = false;
};

void finish(exchange& it, beast::error_code ec)
{
    it.ec = ec;
}

void read_response(exchange& it)
{
    http::async_read(it.stream, it.buf, it.response,
                     [&it](beast::error_code ec, std::size_t)
                     { finish(it, ec); });
}

void write_request(exchange& it)
{
    http::async_write(it.stream, it.request,
                      [&it](beast::error_code ec, std::size_t)
                      {
                          if (ec)
                              finish(it, ec);
                          else
                              read_response(it);
                      });
}

void run(exchange& it, const asio::ip::tcp::endpoint& to,
         std::chrono::milliseconds timeout)
{
    it.stream.expires_after(timeout);
    it.stream.async_connect(to,
                            [&it](beast::error_code ec)
                            {
                                it.connected = !ec;
                                if (ec)
                                    finish(it, ec);
                                else
                                    write_request(it);
                            });
    it.io.run();
}

}  // namespace
}  // namespace detail

core::result<http_response> call(const core::endpoint& to,
                                 const std::string& method,
                                 const std::string& target, std::string body,
                                 std::chrono::milliseconds timeout)
{
    detail::exchange it;
    it.request.method_string(method);
    it.request.target(target);
    it.request.version(11);
    it.request.set("Host", core::to_string(to));
    it.request.set("Connection", "close");
    it.request.set("Content-Type", "application/json");
    it.request.body() = std::move(body);
    it.request.prepare_payload();
    detail::run(it, {boost::asio::ip::make_address(to.address), to.port},
                timeout);
    if (it.ec)
        return core::error{it.connected ? core::error_kind::connection_lost
                                        : core::error_kind::no_connection,
                           core::to_string(to) + ": " + it.ec.message() +
                               "; check that the process runs"};
    return http_response{it.response.result_int(), it.response.body()};
}

core::result<boost::json::object> call_json(const core::endpoint& to,
                                            const std::string& method,
                                            const std::string& target,
                                            std::string body,
                                            std::chrono::milliseconds timeout)
{
    auto it = call(to, method, target, std::move(body), timeout);
    if (!ok(it))
        return std::get<core::error>(it);
    boost::json::error_code ec;
    auto parsed = boost::json::parse(std::get<http_response>(it).body, ec);
    if (ec || !parsed.is_object())
        return core::error{
            core::error_kind::protocol_error,
            core::to_string(to) + ": the body is not a JSON object"};
    return parsed.as_object();
}

}  // namespace scenario
