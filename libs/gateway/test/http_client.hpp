#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "godwitbarrow/core/endpoint.hpp"

/// A client that sends bytes as given, for tests of what a server does with
/// them.
namespace http_test
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using response = http::response<http::string_body>;
using boost::system::error_code;

inline const godwitbarrow::core::endpoint any_port{"127.0.0.1", 0};

/// Several workers, as in the proxy.
struct workers
{
    workers()
    {
        for (int n = 0; n < 3; ++n)
            threads.emplace_back([this] { io.run(); });
    }
    ~workers()
    {
        work.reset();
        io.stop();
        for (auto& it : threads)
            it.join();
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{
        io.get_executor()};
    std::vector<std::thread> threads;
};

/// A connection whose operations block.
struct client
{
    explicit client(const godwitbarrow::core::endpoint& to)
    {
        socket.connect({asio::ip::make_address(to.address), to.port});
    }

    void send(std::string_view bytes)
    {
        error_code ec;
        asio::write(socket, asio::buffer(bytes), ec);
    }

    response receive()
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(std::uint64_t{4} * 1024 * 1024);
        http::read(socket, buf, parser);
        return parser.release();
    }

    /// Whether the server closed the connection without a further answer.
    bool ended()
    {
        char c = 0;
        error_code ec;
        socket.read_some(asio::buffer(&c, 1), ec);
        return ec == asio::error::eof || ec == asio::error::connection_reset;
    }

    asio::io_context io;
    asio::ip::tcp::socket socket{io};
    boost::beast::flat_buffer buf;
};

inline std::string post(std::string_view body, std::string_view more = "",
                        std::string_view path = "/v1/execute")
{
    return "POST " + std::string(path) + " HTTP/1.1\r\nHost: h\r\n" +
           std::string(more) +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string(body);
}

inline std::string get(std::string_view path, std::string_view method = "GET")
{
    return std::string(method) + " " + std::string(path) +
           " HTTP/1.1\r\nHost: h\r\n\r\n";
}

inline std::string field(const response& it, const char* name)
{
    const auto got = boost::json::parse(it.body()).as_object();
    const auto* s = got.contains(name) ? got.at(name).if_string() : nullptr;
    return s ? std::string(s->data(), s->size()) : "";
}

}  // namespace http_test
