#include "member_standin.hpp"

#include <sstream>

namespace godwitbarrow::test
{
namespace detail
{
namespace
{

using tcp = boost::asio::ip::tcp;

/// One connection of the proxy.
struct member_session
{
    stream::connection_ptr link;
    bool started = false;
    char state = 'I';
    std::map<std::string, std::string> prepared;
    std::map<std::string, std::string> uncommitted;
};
using session_ptr = std::shared_ptr<member_session>;

std::string ready(const member_standin& m, char state)
{
    return std::string("READY ") + state + ' ' +
           std::to_string(m.data->at.term) + '.' +
           std::to_string(m.data->at.position) + "\r\n";
}

std::string done(const member_standin& m, const member_session& s)
{
    return "DONE sig\r\n" + ready(m, s.state);
}

std::string error(const member_standin& m, member_session& s,
                  const std::string& code)
{
    if (s.state == 'T')
        s.state = 'E';
    return "ERROR " + code + ' ' + m.id + "\r\n" + ready(m, s.state);
}

void apply_items(member_standin& m,
                 const std::map<std::string, std::string>& items)
{
    if (items.empty())
        return;
    for (const auto& [item, value] : items)
        m.data->items[item] = value;
    ++m.data->at.position;
    ++m.data->writes;
}

std::string run_write(member_standin& m, member_session& s,
                      const std::string& item, const std::string& value)
{
    if (m.data->primary != m.id)
        return error(m, s, "READONLY");
    if (s.state == 'T')
        s.uncommitted[item] = value;
    else
        apply_items(m, {{item, value}});
    if (!m.lose_next_write)
        return done(m, s);
    m.lose_next_write = false;
    stream::close(s.link);
    return {};
}

std::string run_read(member_standin& m, member_session& s,
                     const std::string& item)
{
    const auto own = s.uncommitted.find(item);
    const auto it = m.data->items.find(item);
    std::string value = "none";
    if (own != s.uncommitted.end())
        value = own->second;
    else if (it != m.data->items.end())
        value = it->second;
    return "ROW " + value + "\r\n" + done(m, s);
}

std::string status(const member_standin& m, const member_session& s)
{
    const bool leads = m.data->primary == m.id;
    return std::string("ROW ") + (leads ? "primary " : "replica ") +
           std::to_string(m.data->at.term) + ' ' +
           std::to_string(m.data->at.term) + '.' +
           std::to_string(m.data->at.position) + " 0 0 0 1\r\nDONE -\r\n" +
           ready(m, s.state);
}

std::string begin(member_standin& m, member_session& s, bool reads)
{
    if (!reads && m.data->primary != m.id)
        return error(m, s, "READONLY");
    s.state = 'T';
    return done(m, s);
}

std::string end(member_standin& m, member_session& s, bool commit)
{
    if (commit && s.state == 'T')
        apply_items(m, s.uncommitted);
    s.uncommitted.clear();
    s.state = 'I';
    return done(m, s);
}

std::string execute(member_standin& m, member_session& s,
                    std::istringstream& in)
{
    std::string name;
    std::string item;
    std::string value;
    in >> name >> item >> value;
    const auto it = s.prepared.find(name);
    if (it == s.prepared.end())
        return error(m, s, "NOSTMT");
    if (it->second == "WRITE")
        return run_write(m, s, item, value);
    return run_read(m, s, item);
}

std::string run_query(member_standin& m, member_session& s,
                      std::istringstream& in)
{
    std::string word;
    std::string first;
    std::string second;
    in >> word;
    if (word == "AFTER")
        in >> first >> word;
    if (word == "STATUS")
        return status(m, s);
    if (word == "EXECUTE")
        return execute(m, s, in);
    in >> first >> second;
    if (word == "BEGIN")
        return begin(m, s, first == "READ");
    if (word == "COMMIT" || word == "ROLLBACK")
        return end(m, s, word == "COMMIT");
    if (word == "READ")
        return run_read(m, s, first);
    if (word == "WRITE")
        return run_write(m, s, first, second);
    if (word == "PREPARE")
        s.prepared[first] = second;
    if (word == "RESET")
        s.prepared.clear();
    return done(m, s);
}

std::string start(member_standin& m, member_session& s, std::istringstream& in)
{
    std::string group;
    std::string who;
    std::string id;
    in >> group >> who >> id;
    if (group != m.group || id != m.id)
        return "ERROR MISROUTED " + m.id + "\r\n";
    s.started = true;
    ++m.started;
    return ready(m, 'I');
}

void take_line(member_standin& m, const session_ptr& s, std::string_view line)
{
    if (m.dark)
        return;
    std::istringstream in{std::string(line)};
    std::string word;
    in >> word;
    if (word == "STARTUP")
        return stream::send(s->link, start(m, *s, in));
    std::string id;
    in >> id;
    if (auto reply = run_query(m, *s, in); !reply.empty())
        stream::send(s->link, std::move(reply));
}

void accept_next(member_standin& m)
{
    m.acceptor.async_accept(
        [&m](boost::system::error_code ec, tcp::socket socket)
        {
            if (ec)
                return;
            const auto s = std::make_shared<member_session>();
            m.sessions.push_back(s);
            const std::weak_ptr<member_session> seen = s;
            stream::handlers on;
            on.received = [&m, seen](std::string_view line)
            {
                if (const auto it = seen.lock())
                    take_line(m, it, line);
            };
            on.closed = [](const std::string&) {
            };
            s->link = stream::adopt(std::move(socket), std::move(on));
            stream::start(s->link);
            accept_next(m);
        });
}

}  // namespace
}  // namespace detail

member_standin::member_standin(boost::asio::io_context& io, std::string g,
                               std::string name,
                               std::shared_ptr<group_data> shared)
    : acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}),
      group(std::move(g)),
      id(std::move(name)),
      data(std::move(shared))
{
    detail::accept_next(*this);
}

}  // namespace godwitbarrow::test
