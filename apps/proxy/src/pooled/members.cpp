#include <mutex>

#include "godwitbarrow/platform/member_wire.hpp"
#include "links.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds connect_timeout{1000};

/// What has arrived on one connection. Used on its strand only.
struct member_stream
{
    platform::partial_answer partial;
    bool accepted = false;
};

stream::connection_ptr find_member(app& it, pooler::connection_number number)
{
    std::lock_guard lock(it.links.mutex);
    const auto n = it.links.members.find(number);
    return n == it.links.members.end() ? nullptr : n->second;
}

void lose(app& it, pooler::connection_number number,
          std::optional<pooler::failure> refusal, const std::string& reason)
{
    close_member(it, number);
    handle(it,
           pooler::member_connection_lost{number, std::move(refusal), reason});
}

void take_answer(app& it, pooler::connection_number number, member_stream& from,
                 pooler::answer a)
{
    if (from.accepted)
        return handle(it, pooler::member_answered{number, std::move(a)});
    if (const auto* f = pooler::failure_of(a); f && !f->text.empty())
        return lose(it, number, *f, f->text);
    from.accepted = true;
    handle(it, pooler::member_connected{number, a.at});
}

void take_line(app& it, pooler::connection_number number, member_stream& from,
               std::string_view line)
{
    auto got = platform::take_member_line(from.partial, line);
    if (const auto* e = std::get_if<core::error>(&got))
        return lose(it, number, std::nullopt, e->message);
    auto& a = std::get<std::optional<pooler::answer>>(got);
    if (a)
        take_answer(it, number, from, std::move(*a));
}

/// A refused startup is an error without an end, followed by a close.
std::optional<pooler::failure> refusal_in(const member_stream& from)
{
    if (from.accepted || !from.partial.has_result)
        return std::nullopt;
    const auto* f = pooler::failure_of(from.partial.what);
    if (!f)
        return std::nullopt;
    return *f;
}

}  // namespace
}  // namespace detail

void open(app& it, const pooler::open_connection& what)
{
    const auto number = what.connection;
    const auto from = std::make_shared<detail::member_stream>();
    stream::handlers on;
    on.received = [&it, number, from](std::string_view line)
    {
        detail::take_line(it, number, *from, line);
    };
    on.closed = [&it, number, from](const std::string& reason)
    {
        detail::lose(it, number, detail::refusal_in(*from), reason);
    };
    auto hello = platform::encode_startup(what.group, what.server,
                                          what.workspace.value.empty()
                                              ? it.settings.name.value
                                              : what.workspace.value);
    auto connected = [&it, number, hello = std::move(hello)]
    {
        if (const auto c = detail::find_member(it, number))
            stream::send(c, hello);
    };
    // Another worker may call `connected` before this function ends. It finds
    // the connection only once this lock is released.
    std::lock_guard lock(it.links.mutex);
    it.links.members.emplace(
        number, stream::connect(it.io.get_executor(), what.address,
                                detail::connect_timeout, std::move(connected),
                                std::move(on)));
}

void send(app& it, const pooler::send_to_member& what)
{
    const auto c = detail::find_member(it, what.connection);
    if (!c)
        return;
    std::string bytes;
    for (const auto& n : what.statements)
        bytes += platform::encode_query(n);
    stream::send(c, std::move(bytes));
}

void close_member(app& it, pooler::connection_number number)
{
    stream::connection_ptr c;
    {
        std::lock_guard lock(it.links.mutex);
        const auto n = it.links.members.find(number);
        if (n == it.links.members.end())
            return;
        c = n->second;
        it.links.members.erase(n);
    }
    stream::close(c);
}

}  // namespace godwitbarrow::proxy::pooled
