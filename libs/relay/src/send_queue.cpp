#include "godwitbarrow/relay/send_queue.hpp"

namespace godwitbarrow::relay
{
namespace detail
{
namespace
{

bool is_long(const item& it)
{
    return it.more || it.bytes.size() > max_short_bytes;
}

void add_turn(send_queue& it, const session_key& of)
{
    const auto& next = it.sessions.at(of).front();
    (is_long(next) ? it.long_turns : it.short_turns).push_back(of);
}

void push_part(send_queue& it, item part)
{
    it.bytes += approximate_size(part);
    if (part.session == 0)
        return it.of_host.push_back(std::move(part));
    const session_key of{is_for_owner(part.kind), part.session};
    auto& all = it.sessions[of];
    all.push_back(std::move(part));
    if (all.size() == 1)
        add_turn(it, of);
}

/// Removes the first item of the session and gives the session its next turn.
item take_first(send_queue& it, const session_key& of)
{
    const auto n = it.sessions.find(of);
    auto out = std::move(n->second.front());
    n->second.pop_front();
    if (n->second.empty())
        it.sessions.erase(n);
    else
        add_turn(it, of);
    return out;
}

bool takes_long(const send_queue& it)
{
    return it.short_turns.empty() ||
           (!it.long_turns.empty() && it.bytes_ahead >= max_bytes_ahead);
}

item take_turn(send_queue& it)
{
    const bool from_long = takes_long(it);
    auto& turns = from_long ? it.long_turns : it.short_turns;
    const auto of = turns.front();
    turns.pop_front();
    const bool long_waits = !from_long && !it.long_turns.empty();
    auto out = take_first(it, of);
    it.bytes_ahead = long_waits ? it.bytes_ahead + approximate_size(out) : 0;
    return out;
}

}  // namespace
}  // namespace detail

void push(send_queue& it, item what)
{
    for (auto& part : split(std::move(what)))
        detail::push_part(it, std::move(part));
}

std::vector<item> take_next(send_queue& it, std::size_t budget)
{
    std::vector<item> out;
    for (auto& n : it.of_host)
    {
        it.bytes -= approximate_size(n);
        out.push_back(std::move(n));
    }
    it.of_host.clear();
    std::size_t taken = 0;
    while (taken < budget && !it.sessions.empty())
    {
        out.push_back(detail::take_turn(it));
        const auto size = approximate_size(out.back());
        taken += size;
        it.bytes -= size;
    }
    return out;
}

}  // namespace godwitbarrow::relay
