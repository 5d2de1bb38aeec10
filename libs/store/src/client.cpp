#include "godwitbarrow/store/client.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <utility>

#include "godwitbarrow/core/clock.hpp"
#include "godwitbarrow/http/link.hpp"
#include "godwitbarrow/store/codec.hpp"

namespace godwitbarrow::store
{

namespace asio = boost::asio;

namespace detail
{
namespace
{

using answer_handler = std::function<void(core::result<http::answer>)>;

struct job
{
    http::call call;
    core::time_point reply_by;
    answer_handler handler;
};

}  // namespace
}  // namespace detail

/// Used on its strand only.
struct client
{
    client(const asio::any_io_executor& executor, client_options o)
        : strand(asio::make_strand(executor)), options(std::move(o))
    {
    }

    asio::strand<asio::any_io_executor> strand;
    client_options options;
    std::size_t running = 0;
    std::vector<http::link_ptr> idle;
    /// Needs no timer: all calls have the same timeout, so the calls that run
    /// end before one that waits has run out of time.
    std::deque<detail::job> waiting;
};

namespace detail
{
namespace
{

void run(const client_ptr& it, job next);

core::error unavailable(const std::string& reason)
{
    return {core::error_kind::store_unavailable,
            "the platform's service did not answer: " + reason};
}

void start_next(const client_ptr& it)
{
    if (it->waiting.empty())
        return;
    auto next = std::move(it->waiting.front());
    it->waiting.pop_front();
    ++it->running;
    run(it, std::move(next));
}

void finish(const client_ptr& it, const job& done,
            core::result<http::answer> result)
{
    --it->running;
    start_next(it);
    done.handler(std::move(result));
}

/// Closes the idle links: when one goes silent or stale, others opened before
/// are likely to be so as well.
void drop_idle(client& it)
{
    for (const auto& l : it.idle)
        http::close(l);
    it.idle.clear();
}

void finish_exchange(const client_ptr& it, const http::link_ptr& used,
                     bool reused, job done, http::exchange_result result)
{
    if (auto* a = std::get_if<http::answer>(&result))
    {
        if (http::is_open(used))
            it->idle.push_back(used);
        return finish(it, done, std::move(*a));
    }
    const auto& f = std::get<http::failure>(result);
    drop_idle(*it);
    if (reused && !f.any_byte_sent && !f.timed_out)
        return run(it, std::move(done));
    finish(it, done, unavailable(f.message));
}

void send(const client_ptr& it, const http::link_ptr& on, bool reused, job next)
{
    const auto call = next.call;
    const auto reply_by = next.reply_by;
    http::exchange(
        on, call, reply_by,
        [it, on, reused, next = std::move(next)](http::exchange_result r)
        {
            asio::dispatch(it->strand,
                           [it, on, reused, next, r = std::move(r)]() mutable {
                               finish_exchange(it, on, reused, std::move(next),
                                               std::move(r));
                           });
        });
}

void send_on_new_link(const client_ptr& it, job next)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        next.reply_by - core::runtime_clock::now());
    http::open_link(
        it->strand.get_inner_executor(), it->options.service, left,
        [it, next = std::move(next)](const core::result<http::link_ptr>& l)
        {
            const auto resume = [it, next, l]
            {
                if (const auto* e = std::get_if<core::error>(&l))
                    return finish(it, next, unavailable(e->message));
                send(it, std::get<http::link_ptr>(l), false, next);
            };
            asio::dispatch(it->strand, resume);
        });
}

void run(const client_ptr& it, job next)
{
    while (!it->idle.empty())
    {
        const auto l = std::move(it->idle.back());
        it->idle.pop_back();
        if (http::is_open(l))
            return send(it, l, true, std::move(next));
    }
    send_on_new_link(it, std::move(next));
}

void accept_job(const client_ptr& it, job next)
{
    if (it->running < it->options.max_concurrent)
    {
        ++it->running;
        return run(it, std::move(next));
    }
    if (it->waiting.size() >= longest_queue)
        return next.handler(
            unavailable("too many calls wait for it; try again later"));
    it->waiting.push_back(std::move(next));
}

void submit(const client_ptr& it, http::call call, answer_handler handler)
{
    job next{std::move(call), core::runtime_clock::now() + it->options.timeout,
             std::move(handler)};
    asio::post(it->strand, [it, next = std::move(next)]() mutable
               { accept_job(it, std::move(next)); });
}

/// Makes a handler that decodes the answer for the caller's handler.
template <class T, class Decode>
answer_handler decoding(Decode decode,
                        std::function<void(core::result<T>)> handler)
{
    return [decode, handler = std::move(handler)](core::result<http::answer> r)
    {
        if (auto* e = std::get_if<core::error>(&r))
            return handler(std::move(*e));
        auto& a = std::get<http::answer>(r);
        handler(decode(a.code, std::move(a.body)));
    };
}

core::result<std::monostate> decode_stored(unsigned code, std::string body)
{
    auto r = decode_object(code, std::move(body));
    if (auto* e = std::get_if<core::error>(&r))
        return std::move(*e);
    return std::monostate{};
}

}  // namespace
}  // namespace detail

client_ptr make_client(const asio::any_io_executor& executor,
                       const client_options& options)
{
    return std::make_shared<client>(executor, options);
}

void read_row(const client_ptr& it, const std::string& table,
              const std::string& key,
              std::function<void(core::result<versioned_value>)> handler)
{
    detail::submit(
        it, {http::method::get, row_path(table, key), {}},
        detail::decoding<versioned_value>(decode_row, std::move(handler)));
}

void write_row(const client_ptr& it, const std::string& table,
               const std::string& key, const std::string& value,
               std::uint64_t expected_version,
               std::function<void(core::result<std::uint64_t>)> handler)
{
    detail::submit(
        it,
        {http::method::put, row_path(table, key),
         encode_row_write(value, expected_version)},
        detail::decoding<std::uint64_t>(decode_version, std::move(handler)));
}

void put_object(const client_ptr& it, const std::string& digest,
                const std::string& value,
                std::function<void(core::result<std::monostate>)> handler)
{
    detail::submit(it, {http::method::put, object_path(digest), value},
                   detail::decoding<std::monostate>(detail::decode_stored,
                                                    std::move(handler)));
}

void get_object(const client_ptr& it, const std::string& digest,
                std::function<void(core::result<std::string>)> handler)
{
    detail::submit(
        it, {http::method::get, object_path(digest), {}},
        detail::decoding<std::string>(decode_object, std::move(handler)));
}

void list_hosts(const client_ptr& it,
                std::function<void(core::result<host_list>)> handler)
{
    detail::submit(
        it, {http::method::get, "/hosts", {}},
        detail::decoding<host_list>(decode_hosts, std::move(handler)));
}

}  // namespace godwitbarrow::store
