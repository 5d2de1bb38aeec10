#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

/// Stand-ins of the platform, of database members and of callers for the cases
/// of the review, and the processes of the proxy. All of it runs on one thread.
namespace review
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace http = boost::beast::http;
namespace fs = std::filesystem;
using asio::awaitable;
using asio::use_awaitable;
using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

inline constexpr auto as_result = asio::as_tuple(use_awaitable);

/// What was sent, answered and run, with the time since the start.
struct recorder
{
    std::ofstream out;
    clock::time_point began = clock::now();

    explicit recorder(const std::string& path) : out(path) {}

    std::int64_t now() const
    {
        return std::chrono::duration_cast<milliseconds>(clock::now() - began)
            .count();
    }

    void operator()(const std::string& text)
    {
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f ",
                      static_cast<double>(now()) / 1e3);
        out << at << text << '\n';
        out.flush();
    }
};

inline awaitable<void> sleep_for(milliseconds time)
{
    asio::steady_timer t(co_await asio::this_coro::executor, time);
    co_await t.async_wait(as_result);
}

/// A loopback address of this run.
inline asio::ip::address own_address()
{
    const auto id = static_cast<unsigned>(getpid());
    return asio::ip::make_address("127." + std::to_string(1 + id / 250 % 250) +
                                  '.' + std::to_string(1 + id % 250) + ".3");
}

inline tcp::acceptor listen(asio::io_context& io)
{
    return tcp::acceptor(io, {own_address(), 0});
}

inline std::string text_of(const tcp::endpoint& at)
{
    return at.address().to_string() + ':' + std::to_string(at.port());
}

// The platform's store and its call for promotions.

struct store_row
{
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
};

struct promotion
{
    std::string group;
    std::string server;
    std::string holder;
    std::uint64_t token = 0;
};

struct store
{
    store(asio::io_context& context, recorder& to)
        : io(context), record(to), acceptor(listen(context))
    {
        asio::co_spawn(io, accept(), asio::detached);
    }

    void put(const std::string& table, const std::string& key,
             const std::string& value)
    {
        tables[table][key] = {encode(value), ++version, false};
        note(table, key);
    }

    /// The store is away from now on: it answers 503, which means that nothing
    /// was done.
    void go_away()
    {
        away = true;
        wake();
    }

    using copy = std::pair<
        std::uint64_t,
        decltype(std::map<std::string, std::map<std::string, store_row>>())>;

    copy make_copy() const
    {
        return {version, tables};
    }

    /// Comes back from the copy. Versions go back and are given out again.
    void restore(const copy& from)
    {
        version = from.first;
        tables = from.second;
        ++era;
        away = false;
        wake();
    }

    std::string decoded(const std::string& table, const std::string& key) const
    {
        const auto t = tables.find(table);
        if (t == tables.end() || t->second.count(key) == 0)
            return {};
        const auto& from = t->second.at(key).value;
        std::string out(boost::beast::detail::base64::decoded_size(from.size()),
                        '\0');
        out.resize(boost::beast::detail::base64::decode(out.data(), from.data(),
                                                        from.size())
                       .first);
        return out;
    }

    asio::io_context& io;
    recorder& record;
    tcp::acceptor acceptor;
    std::uint64_t version = 0;
    std::uint64_t era = 1;
    bool away = false;
    std::map<std::string, std::map<std::string, store_row>> tables;
    std::set<asio::steady_timer*> waiting;
    /// The status of an order for a promotion; 0 if it gets no answer.
    std::function<unsigned(const promotion&)> promoted;
    /// Called with the table and the key after each write of a host.
    std::function<void(const std::string&, const std::string&)> written;

private:
    using request = http::request<http::string_body>;
    using response = http::response<http::string_body>;

    static std::string encode(const std::string& text)
    {
        std::string out(boost::beast::detail::base64::encoded_size(text.size()),
                        '\0');
        out.resize(boost::beast::detail::base64::encode(out.data(), text.data(),
                                                        text.size()));
        return out;
    }

    void wake()
    {
        for (auto* t : waiting)
            t->cancel();
    }

    void note(const std::string&, const std::string&)
    {
        wake();
    }

    static std::map<std::string, std::string> query_of(
        const std::string& target)
    {
        std::map<std::string, std::string> out;
        const auto begin = target.find('?');
        if (begin == std::string::npos)
            return out;
        std::istringstream in(target.substr(begin + 1));
        for (std::string part; std::getline(in, part, '&');)
        {
            const auto at = part.find('=');
            std::string value;
            for (auto n = at + 1; at != std::string::npos && n < part.size();
                 ++n)
                if (part[n] == '%' && n + 2 < part.size())
                {
                    value += static_cast<char>(
                        std::stoi(part.substr(n + 1, 2), nullptr, 16));
                    n += 2;
                }
                else
                    value += part[n];
            out[part.substr(0, at)] = value;
        }
        return out;
    }

    static json::object describe(const std::string& table,
                                 const std::string& key, const store_row& row)
    {
        json::object out{
            {"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
        if (row.deleted)
            out["tombstone"] = true;
        else
            out["value"] = row.value;
        return out;
    }

    std::string rows_body(json::array rows) const
    {
        const auto now = std::chrono::duration_cast<milliseconds>(
            clock::now().time_since_epoch());
        return json::serialize(json::object{{"rows", std::move(rows)},
                                            {"has_more", false},
                                            {"ver", version},
                                            {"now_ms", now.count()}});
    }

    json::array changes(const std::string& table, std::uint64_t after)
    {
        std::map<std::uint64_t, json::object> found;
        for (const auto& [key, row] : tables[table])
            if (row.version > after)
                found.emplace(row.version, describe(table, key, row));
        json::array out;
        for (auto& [at, row] : found)
            out.push_back(std::move(row));
        return out;
    }

    awaitable<std::pair<unsigned, std::string>> feed(
        std::map<std::string, std::string> query)
    {
        const auto after = std::stoull(query["after"]);
        const auto until =
            clock::now() + milliseconds(std::stoll(query["wait_ms"]));
        const auto born = era;
        while (true)
        {
            if (away || born != era)
                co_return std::pair(503U, std::string("{}"));
            if (after > version)
                co_return std::pair(410U, std::string("{}"));
            auto rows = changes(query["table"], after);
            if (!rows.empty() || clock::now() >= until)
                co_return std::pair(200U, rows_body(std::move(rows)));
            asio::steady_timer t(io, until);
            waiting.insert(&t);
            co_await t.async_wait(as_result);
            waiting.erase(&t);
        }
    }

    std::pair<unsigned, std::string> transact(const std::string& body)
    {
        const auto call = json::parse(body);
        for (const auto& it : call.at("precondition").as_array())
        {
            const auto& table = tables[std::string(it.at("table").as_string())];
            const auto row = table.find(std::string(it.at("key").as_string()));
            const auto found = row == table.end() ? 0 : row->second.version;
            if (found != it.at("ver").to_number<std::uint64_t>())
                return {412, "{\"rows\":[]}"};
        }
        ++version;
        for (const auto& it : call.at("puts").as_array())
        {
            const std::string table(it.at("table").as_string());
            const std::string key(it.at("key").as_string());
            tables[table][key] = {std::string(it.at("value").as_string()),
                                  version, false};
            if (written)
                written(table, key);
        }
        wake();
        return {200, rows_body({})};
    }

    std::pair<unsigned, std::string> list(std::map<std::string, std::string> q)
    {
        json::array rows;
        for (const auto& [key, row] : tables[q["table"]])
            if (!row.deleted && (q["from"].empty() || key >= q["from"]) &&
                (q["to"].empty() || key < q["to"]))
                rows.push_back(describe(q["table"], key, row));
        return {200, rows_body(std::move(rows))};
    }

    std::pair<unsigned, std::string> promote(const request& from)
    {
        const auto body = json::parse(from.body());
        const promotion it{
            std::string(body.at("service").as_string()),
            std::string(body.at("id").as_string()),
            std::string(from["X-Godwitbarrow-Lease-Holder"]),
            std::stoull(std::string(from["X-Godwitbarrow-Fence-Token"]))};
        return {promoted(it), "{}"};
    }

    awaitable<std::pair<unsigned, std::string>> answer(const request& from)
    {
        const std::string target(from.target());
        if (target.rfind("/promote", 0) == 0)
            co_return promote(from);
        co_await sleep_for(4ms);
        if (away)
            co_return std::pair(503U, std::string("{}"));
        if (target.rfind("/rows-get", 0) == 0)
            co_return list(query_of(target));
        if (target.rfind("/rows-feed", 0) == 0)
            co_return co_await feed(query_of(target));
        if (target.rfind("/rows-tx", 0) == 0)
            co_return transact(from.body());
        co_return std::pair(404U, std::string("{}"));
    }

    awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        while (true)
        {
            request from;
            auto [ec, n] =
                co_await http::async_read(socket, buffer, from, as_result);
            if (ec)
                co_return;
            auto [code, body] = co_await answer(from);
            if (code == 0)
            {
                // The connection delivers nothing further.
                co_await sleep_for(60s);
                co_return;
            }
            response to{static_cast<http::status>(code), 11};
            to.set("Store-Era", std::to_string(era));
            to.set(http::field::content_type, "application/json");
            to.body() = std::move(body);
            to.prepare_payload();
            auto [failed, sent] =
                co_await http::async_write(socket, to, as_result);
            if (failed)
                co_return;
        }
    }

    awaitable<void> accept()
    {
        while (true)
        {
            auto [ec, socket] = co_await acceptor.async_accept(as_result);
            if (ec)
                co_return;
            asio::co_spawn(io, serve(std::move(socket)), asio::detached);
        }
    }
};

// A database group.

struct commit
{
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    std::map<std::string, std::string> items;
};

struct group;

/// One connection of a host.
struct member_session
{
    explicit member_session(tcp::socket s) : socket(std::move(s)) {}

    tcp::socket socket;
    std::string buffer;
    char state = 'I';
    bool read_only = false;
    std::uint64_t began_in = 0;
    std::map<std::string, std::string> uncommitted;
};

struct member
{
    member(asio::io_context& io, group& of, std::string name)
        : in(of),
          id(std::move(name)),
          acceptor(listen(io)),
          address(acceptor.local_endpoint())
    {
    }

    group& in;
    std::string id;
    tcp::acceptor acceptor;
    tcp::endpoint address;
    bool running = true;
    bool draining = false;
    std::uint64_t seq = 0;
    std::uint64_t term = 1;
    std::vector<std::shared_ptr<const commit>> log;
    std::size_t busy = 0;
    std::deque<asio::steady_timer*> queue;
    std::set<std::shared_ptr<member_session>> sessions;
    std::size_t most_sessions = 0;
    /// Term of the pause of a replica that receives nothing; 0 if it receives.
    std::uint64_t paused_at = 0;
    /// Time that a commit takes to arrive here.
    milliseconds distance{1};
};

struct group_settings
{
    std::size_t slots = 2;
    std::size_t queue = 16;
    std::size_t connections = 16;
    milliseconds work{8};
    milliseconds handshake{12};
    milliseconds lag{60};
    milliseconds promotion{600};
    std::string zone = "north";
    /// Replicas that have received a commit before it is acknowledged: 0 or 1.
    std::size_t synchronous_replicas = 0;
};

struct group
{
    group(asio::io_context& context, recorder& to, store& at, std::string as,
          group_settings s)
        : io(context),
          record(to),
          platform(at),
          name(std::move(as)),
          settings(s)
    {
        for (const auto* n : {"a", "b", "c"})
        {
            const auto id = "i-" + name + n;
            members.emplace(id, std::make_unique<member>(io, *this, id));
        }
        primary = members.begin()->first;
        for (auto& [id, m] : members)
        {
            report(*m);
            asio::co_spawn(io, accept(*m), asio::detached);
        }
    }

    /// The member's own entry in the store.
    void report(member& m)
    {
        if (!m.running)
            return;
        platform.put("servers", m.id,
                     json::serialize(json::object{
                         {"service", name},
                         {"addr", text_of(m.address)},
                         {"zone", settings.zone},
                         {"version", "v1"},
                         {"slots", settings.slots},
                         {"state", m.draining ? "draining" : "ready"},
                         {"cold_left_ms", 0},
                         {"db_role", primary == m.id ? "primary" : "replica"},
                         {"seq", ++m.seq},
                         {"born", 1700000000000}}));
    }

    void report_all()
    {
        for (auto& [id, m] : members)
            report(*m);
    }

    /// The processes of the member end; its log remains.
    void crash(const std::string& id)
    {
        auto& m = *members.at(id);
        m.running = false;
        boost::system::error_code ec;
        m.acceptor.close(ec);
        for (const auto& s : m.sessions)
            s->socket.close(ec);
        record("member " + id + " crashes");
    }

    /// It comes back with its log at the same address.
    void start_again(const std::string& id)
    {
        auto& m = *members.at(id);
        const auto at = m.address;
        m.acceptor = tcp::acceptor(io, at);
        m.running = true;
        m.busy = 0;
        m.paused_at = 0;
        report(m);
        asio::co_spawn(io, accept(m), asio::detached);
        record("member " + id + " is back");
        for (auto& [other, n] : members)
            if (primary != other)
                asio::co_spawn(io, replicate(primary, other), asio::detached);
    }

    unsigned promote(const std::string& id)
    {
        const auto m = members.find(id);
        if (m == members.end() || !m->second->running)
            return 409;
        if (id == primary)
            return 200;
        asio::co_spawn(io, lead(id), asio::detached);
        return 200;
    }

    asio::io_context& io;
    recorder& record;
    store& platform;
    std::string name;
    group_settings settings;
    std::map<std::string, std::unique_ptr<member>> members;
    std::string primary;
    std::uint64_t term = 1;
    std::uint64_t signatures = 0;
    std::uint64_t runs = 0;
    /// Called when a member begins to lead.
    std::function<void(const member&)> led;

private:
    awaitable<void> lead(std::string id)
    {
        co_await sleep_for(settings.promotion);
        auto& m = *members.at(id);
        if (!m.running || id == primary)
            co_return;
        primary = id;
        m.term = ++term;
        m.paused_at = 0;
        record("member " + id + " leads term " + std::to_string(term) +
               " with " + std::to_string(m.log.size()) + " commits");
        if (led)
            led(m);
        report_all();
        for (auto& [other, n] : members)
            if (other != id)
                asio::co_spawn(io, replicate(id, other), asio::detached);
    }

    /// After the lag, the replica has what the primary has now.
    awaitable<void> replicate(std::string from, std::string to)
    {
        const auto log = members.at(from)->log;
        const auto at = members.at(from)->term;
        const bool waits = settings.synchronous_replicas > 0;
        co_await sleep_for(waits ? members.at(to)->distance : settings.lag);
        auto& m = *members.at(to);
        if (m.paused_at > 0 || !m.running || primary != from || m.term > at ||
            (m.term == at && m.log.size() > log.size()))
            co_return;
        m.log = log;
        m.term = at;
    }

    bool is_received(const member& by, std::size_t size) const
    {
        for (const auto& [id, m] : members)
            if (m.get() != &by && m->running && m->term == by.term &&
                m->log.size() >= size)
                return true;
        return false;
    }

    /// Until a replica has received what the member has committed.
    awaitable<void> await_replica(member& m, std::size_t size)
    {
        while (m.running && primary == m.id && !is_received(m, size))
            co_await sleep_for(1ms);
    }

    /// A status with a command before it, which answers with the same row.
    void command(member& m, const std::string& word, std::uint64_t at)
    {
        if (word == "PAUSE" && !leads(m) && at > m.term)
            m.paused_at = std::max(m.paused_at, at);
        if (word == "RESUME")
        {
            m.paused_at = 0;
            asio::co_spawn(io, replicate(primary, m.id), asio::detached);
        }
        if (word == "PAUSE" || word == "RESUME")
            record("member " + m.id + ": " + word);
    }

    static std::string position(const member& m)
    {
        return std::to_string(m.term) + '.' + std::to_string(m.log.size());
    }

    static std::string ready(const member& m, const member_session& s)
    {
        return std::string("READY ") + s.state + ' ' + position(m) + "\r\n";
    }

    std::string done(const member& m, const member_session& s,
                     const std::string& rows = {})
    {
        return rows + "DONE " + m.id + '.' + std::to_string(++signatures) +
               "\r\n" + ready(m, s);
    }

    static std::string error(const member& m, member_session& s,
                             const std::string& code)
    {
        if (s.state == 'T')
            s.state = 'E';
        return "ERROR " + code + ' ' + m.id + "\r\n" + ready(m, s);
    }

    bool leads(const member& m) const
    {
        return m.running && primary == m.id;
    }

    void apply(member& m, const std::map<std::string, std::string>& items)
    {
        if (items.empty())
            return;
        m.log.push_back(
            std::make_shared<commit>(commit{m.term, m.log.size() + 1, items}));
        for (auto& [other, n] : members)
            if (other != m.id)
                asio::co_spawn(io, replicate(m.id, other), asio::detached);
    }

    static std::string value_of(const member& m, const member_session& s,
                                const std::string& item)
    {
        if (const auto n = s.uncommitted.find(item); n != s.uncommitted.end())
            return n->second;
        for (auto n = m.log.rbegin(); n != m.log.rend(); ++n)
            if (const auto v = (*n)->items.find(item); v != (*n)->items.end())
                return v->second;
        return "none";
    }

    static bool has(const member& m, const std::string& at)
    {
        const auto dot = at.find('.');
        return std::pair(m.term, std::uint64_t{m.log.size()}) >=
               std::pair<std::uint64_t, std::uint64_t>(
                   std::stoull(at), std::stoull(at.substr(dot + 1)));
    }

    std::string run(member& m, member_session& s, const std::string& id,
                    const std::string& text)
    {
        std::istringstream in(text);
        std::string word;
        std::string item;
        std::string value;
        in >> word;
        if (word == "AFTER")
        {
            in >> item >> word;
            if (!has(m, item))
                return error(m, s, "LAGGING");
        }
        if (word == "PAUSE" || word == "STEPDOWN")
            in >> item;
        if (word == "PAUSE" || word == "RESUME")
            command(m, word, item.empty() ? 0 : std::stoull(item));
        if (word == "STATUS" || word == "PAUSE" || word == "RESUME" ||
            word == "STEPDOWN")
            return std::string("ROW ") + (leads(m) ? "primary " : "replica ") +
                   std::to_string(std::max(m.term, m.paused_at)) + ' ' +
                   position(m) + ' ' + std::to_string(m.paused_at) + " 0 " +
                   std::to_string(m.busy) + ' ' +
                   std::to_string(m.sessions.size()) + "\r\nDONE -\r\n" +
                   ready(m, s);
        if (word == "RESET" || word == "SET" || word == "PREPARE")
            return "DONE -\r\n" + ready(m, s);
        in >> item >> value;
        if (word == "BEGIN")
        {
            s.read_only = item == "READ";
            if (!s.read_only && !leads(m))
                return error(m, s, "READONLY");
            s.state = 'T';
            s.began_in = m.term;
            return done(m, s);
        }
        if (word == "ROLLBACK")
        {
            s.uncommitted.clear();
            s.state = 'I';
            return done(m, s);
        }
        if (s.state == 'E')
            return error(m, s, "MALFORMED");
        const bool lost = s.state == 'T' && !s.read_only &&
                          (!leads(m) || s.began_in != m.term) &&
                          !(word == "COMMIT" && s.uncommitted.empty());
        if (lost || (word == "WRITE" && !leads(m)))
            return error(m, s, "READONLY");
        ++runs;
        record("member " + m.id + " runs " + id + ' ' + text);
        if (word == "COMMIT")
        {
            s.state = 'I';
            apply(m, std::exchange(s.uncommitted, {}));
            return done(m, s);
        }
        if (word == "WRITE" && s.state == 'T')
            s.uncommitted[item] = value;
        else if (word == "WRITE")
            apply(m, {{item, value}});
        if (word == "READ")
            return done(m, s, "ROW " + value_of(m, s, item) + "\r\n");
        return done(m, s);
    }

    static bool takes_slot(const std::string& text)
    {
        return text.find("READ ") == 0 || text.find("WRITE ") == 0 ||
               text == "COMMIT" || text.find("AFTER ") == 0;
    }

    awaitable<bool> take_slot(member& m)
    {
        if (m.busy >= settings.slots)
        {
            if (m.queue.size() >= settings.queue)
                co_return false;
            asio::steady_timer t(io, clock::time_point::max());
            m.queue.push_back(&t);
            co_await t.async_wait(as_result);
            co_return true;
        }
        ++m.busy;
        co_return true;
    }

    static void release_slot(member& m)
    {
        if (m.queue.empty())
        {
            --m.busy;
            return;
        }
        m.queue.front()->cancel();
        m.queue.pop_front();
    }

    awaitable<std::optional<std::string>> line(member_session& s)
    {
        auto [ec, n] = co_await asio::async_read_until(
            s.socket, asio::dynamic_buffer(s.buffer), "\r\n", as_result);
        if (ec)
            co_return std::nullopt;
        auto out = s.buffer.substr(0, n - 2);
        s.buffer.erase(0, n);
        co_return out;
    }

    awaitable<bool> send(member_session& s, std::string bytes)
    {
        auto [ec, n] = co_await asio::async_write(s.socket, asio::buffer(bytes),
                                                  as_result);
        co_return !ec;
    }

    awaitable<bool> start(member& m, member_session& s)
    {
        const auto first = co_await line(s);
        if (!first)
            co_return false;
        std::istringstream in(*first);
        std::string word;
        std::string service;
        std::string who;
        std::string id;
        in >> word >> service >> who >> id;
        std::string refusal;
        if (word != "STARTUP" || service != name || (!id.empty() && id != m.id))
            refusal = "MISROUTED";
        else if (m.sessions.size() > settings.connections)
            refusal = "TOOMANY";
        if (!refusal.empty())
        {
            co_await send(s, "ERROR " + refusal + ' ' + m.id + "\r\n");
            co_return false;
        }
        if (co_await take_slot(m))
        {
            co_await sleep_for(settings.handshake);
            release_slot(m);
        }
        co_return co_await send(s, ready(m, s));
    }

    awaitable<void> serve(member& m, std::shared_ptr<member_session> s)
    {
        m.sessions.insert(s);
        m.most_sessions = std::max(m.most_sessions, m.sessions.size());
        if (co_await start(m, *s))
            while (const auto got = co_await line(*s))
            {
                std::istringstream in(*got);
                std::string word;
                std::string id;
                in >> word >> id >> std::ws;
                std::string text;
                std::getline(in, text);
                if (word != "QUERY")
                    break;
                const bool slot = takes_slot(text);
                std::string out;
                if (slot && !co_await take_slot(m))
                {
                    // Refused before the run: the transaction stays open.
                    out = "ERROR BUSY " + m.id + "\r\n" + ready(m, *s);
                }
                else
                {
                    if (slot)
                        co_await sleep_for(settings.work);
                    if (!m.running)
                        break;
                    const auto before = m.log.size();
                    out = run(m, *s, id, text);
                    if (slot)
                        release_slot(m);
                    if (settings.synchronous_replicas > 0 &&
                        m.log.size() > before)
                    {
                        co_await await_replica(m, m.log.size());
                        if (!leads(m))
                            break;
                    }
                }
                if (!co_await send(*s, std::move(out)))
                    break;
            }
        m.sessions.erase(s);
        boost::system::error_code ec;
        s->socket.close(ec);
    }

    awaitable<void> accept(member& m)
    {
        while (true)
        {
            auto [ec, socket] = co_await m.acceptor.async_accept(as_result);
            if (ec)
                co_return;
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            asio::co_spawn(
                io,
                serve(m, std::make_shared<member_session>(std::move(socket))),
                asio::detached);
        }
    }
};

// The operator.

struct route
{
    std::string database;
    std::string type = "primary";
    int max_stale_ms = 0;
    int timeout_ms = 1000;
    int slo_ms = 500;
    int priority = 0;
    bool open = false;
};

inline void configure(store& at, int version, const group& of,
                      const std::vector<route>& routes,
                      json::array tenants = {}, int idle_ms = 3000)
{
    json::array all;
    for (const auto& r : routes)
        all.push_back(json::object{{"name", "r-" + r.database},
                                   {"host", r.database},
                                   {"prefix", "/"},
                                   {"type", r.type},
                                   {"timeout_ms", r.timeout_ms},
                                   {"slo_ms", r.slo_ms},
                                   {"priority", r.priority},
                                   {"service", of.name},
                                   {"max_tries", 2},
                                   {"max_stale_ms", r.max_stale_ms},
                                   {"public", r.open}});
    json::object out{
        {"version", version},
        {"routes", std::move(all)},
        {"services", json::array{json::object{
                         {"name", of.name},
                         {"max_conns", of.settings.connections},
                         {"sync_replicas", of.settings.synchronous_replicas}}}},
        {"limits", json::object{{"tx_idle_ms", idle_ms}}}};
    if (!tenants.empty())
        out["tenants"] = std::move(tenants);
    at.put("op", "config", json::serialize(out));
}

// Processes of the proxy.

struct host_process
{
    std::string name;
    std::string folder;
    tcp::endpoint callers;
    tcp::endpoint readiness;
    pid_t id = 0;
};

/// Below the ports that the system gives to connections. Each is handed out
/// once.
inline std::uint16_t free_port(asio::io_context& io)
{
    static std::uint16_t last = 20100;
    while (true)
    {
        boost::system::error_code ec;
        const tcp::endpoint at(own_address(), ++last);
        tcp::acceptor probe(io);
        probe.open(at.protocol(), ec);
        probe.set_option(tcp::acceptor::reuse_address(true), ec);
        probe.bind(at, ec);
        if (!ec)
            return last;
    }
}

struct host_options
{
    std::string data_centre = "north";
    int grace_s = 6;
    int stable_ms = 5000;
    int drain_ms = 7000;
    bool quotas = false;
    std::size_t memory_mib = 512;
};

inline host_process make_host(asio::io_context& io, const store& at,
                              const std::string& name,
                              const std::string& folder,
                              const host_options& o = {})
{
    host_process it;
    it.name = name;
    it.folder = folder;
    const auto address = own_address();
    it.callers = {address, free_port(io)};
    it.readiness = {address, free_port(io)};
    const auto platform = text_of(at.acceptor.local_endpoint());
    std::ofstream out(folder + '/' + name + ".ini");
    out << "[host]\nname = " << name << "\ndata_centre = " << o.data_centre
        << "\nregion = " << o.data_centre
        << "\ncore_share = 0.5\nworkers = 1\n\n"
        << "[listen]\ncallers = " << text_of(it.callers)
        << "\nreadiness = " << text_of(it.readiness)
        << "\nreadiness_path = /readyz\nmetrics = "
        << text_of({address, free_port(io)})
        << "\npeers = " << text_of({address, free_port(io)})
        << "\n\n[store]\naddress = " << platform
        << "\n\n[promotions]\naddress = " << platform
        << "\nfencing = true\n\n[shutdown]\ngrace = " << o.grace_s
        << "s\n\n[members]\nleaving_limit = " << o.drain_ms
        << "ms\n\n[limits]\nmemory = " << o.memory_mib
        << "MiB\ndescriptors = "
           "8192\n\n[workspaces]\n";
    if (o.quotas)
        out << "quota_window = 5s\nquota_excess = 0.1\nquota_slack = 20\n";
    return it;
}

/// With the command of the deploy file. The process ends with this one.
inline void start(host_process& it, recorder& record, int stable_ms = 5000)
{
    const auto settings = it.folder + '/' + it.name + ".ini";
    const auto log = it.folder + '/' + it.name + ".log";
    const auto limit = "--change_limit=" + std::to_string(stable_ms) + "ms";
    it.id = fork();
    if (it.id == 0)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int to = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(to, 1);
        dup2(to, 2);
        for (int fd = 3; fd < 1024; ++fd)
            close(fd);
        setenv("GODWITBARROW_CONFIG", settings.c_str(), 1);
        execl("target/bin/godwitbarrow", "target/bin/godwitbarrow",
              "--mode=pooler", limit.c_str(), nullptr);
        _exit(127);
    }
    record("host " + it.name + " starts");
}

inline bool is_running(host_process& it)
{
    if (it.id <= 0)
        return false;
    int state = 0;
    if (waitpid(it.id, &state, WNOHANG) == 0)
        return true;
    it.id = 0;
    return false;
}

inline void signal_host(host_process& it, recorder& record, int number)
{
    if (it.id <= 0)
        return;
    record("host " + it.name + " gets signal " + std::to_string(number));
    kill(it.id, number);
}

inline void end(host_process& it)
{
    if (it.id <= 0)
        return;
    kill(it.id, SIGKILL);
    waitpid(it.id, nullptr, 0);
    it.id = 0;
}

inline awaitable<bool> is_ready(asio::io_context& io, const host_process& it)
{
    tcp::socket s(io);
    auto [ec] = co_await s.async_connect(it.readiness, as_result);
    if (ec)
        co_return false;
    http::request<http::empty_body> to{http::verb::get, "/readyz", 11};
    to.set(http::field::host, "x");
    auto [e1, n1] = co_await http::async_write(s, to, as_result);
    boost::beast::flat_buffer b;
    http::response<http::string_body> from;
    auto [e2, n2] = co_await http::async_read(s, b, from, as_result);
    co_return !e1 && !e2 && from.result_int() == 200;
}

inline awaitable<bool> await_ready(asio::io_context& io, const host_process& it,
                                   milliseconds limit = 15s)
{
    const auto until = clock::now() + limit;
    while (clock::now() < until)
    {
        if (co_await is_ready(io, it))
            co_return true;
        co_await sleep_for(50ms);
    }
    co_return false;
}

// Callers.

struct answer
{
    bool closed = false;
    std::vector<std::string> rows;
    /// "DONE signature" or "ERROR code text".
    std::string result;
    char state = '?';

    bool succeeded() const
    {
        return !closed && result.rfind("DONE", 0) == 0;
    }
    std::string code() const
    {
        if (closed)
            return "closed";
        std::istringstream in(result);
        std::string word;
        std::string code;
        in >> word >> code;
        return word == "DONE" ? "DONE" : code;
    }
};

struct caller
{
    caller(asio::io_context& context, recorder& to, std::string as)
        : io(context), record(to), name(std::move(as)), socket(context)
    {
    }

    awaitable<bool> connect(tcp::endpoint at, std::string database,
                            std::string key = {})
    {
        boost::system::error_code ignored;
        socket.close(ignored);
        socket = tcp::socket(io);
        buffer.clear();
        auto [ec] = co_await socket.async_connect(at, as_result);
        if (ec)
            co_return false;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto first =
            "STARTUP " + database + (key.empty() ? "" : " " + key) + "\r\n";
        co_await asio::async_write(socket, asio::buffer(first), as_result);
        const auto got = co_await line(2s);
        co_return got && got->rfind("READY", 0) == 0;
    }

    awaitable<answer> query(std::string text, milliseconds limit = 5s)
    {
        const auto id = name + "x" + std::to_string(++last);
        answer out;
        if (verbose)
            record(name + " sends " + id + ' ' + text);
        const auto bytes = "QUERY " + id + ' ' + text + "\r\n";
        co_await asio::async_write(socket, asio::buffer(bytes), as_result);
        const auto until = clock::now() + limit;
        while (true)
        {
            const auto left =
                std::chrono::duration_cast<milliseconds>(until - clock::now());
            const auto got = co_await line(std::max(left, 1ms));
            if (!got)
            {
                out.closed = true;
                boost::system::error_code ignored;
                socket.close(ignored);
                break;
            }
            if (got->rfind("ROW ", 0) == 0)
                out.rows.push_back(got->substr(4));
            else if (got->rfind("READY ", 0) == 0)
            {
                out.state = got->at(6);
                break;
            }
            else
                out.result = *got;
        }
        if (verbose)
            record(name + " gets " + id + ' ' +
                   (out.closed ? "no answer" : out.result) +
                   (out.rows.empty() ? "" : " rows " + out.rows.front()));
        co_return out;
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    asio::io_context& io;
    recorder& record;
    std::string name;
    tcp::socket socket;
    std::string buffer;
    std::uint64_t last = 0;
    bool verbose = true;

private:
    awaitable<std::optional<std::string>> line(milliseconds limit)
    {
        bool late = false;
        asio::steady_timer t(io, limit);
        t.async_wait(
            [this, &late](boost::system::error_code ec)
            {
                if (ec)
                    return;
                late = true;
                boost::system::error_code ignored;
                socket.cancel(ignored);
            });
        auto [ec, n] = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(buffer), "\r\n", as_result);
        t.cancel();
        // Lets an expired timer run while `late` is alive.
        co_await asio::post(io, use_awaitable);
        if (ec)
            co_return std::nullopt;
        auto out = buffer.substr(0, n - 2);
        buffer.erase(0, n);
        co_return out;
    }
};

// A run.

inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int not_run = 2;

inline bool has_trouble()
{
    const char* it = std::getenv("TROUBLE");
    return !it || std::string(it) != "0";
}

/// Runs the case, 110 s at most, and ends with its result.
inline int play(asio::io_context& io, recorder& record,
                std::function<awaitable<int>()> story)
{
    int out = not_run;
    bool ended = false;
    asio::co_spawn(io, story(),
                   [&](std::exception_ptr e, int result)
                   {
                       ended = true;
                       out = e ? not_run : result;
                       if (e)
                           record("the case failed with an exception");
                       io.stop();
                   });
    io.run_for(110s);
    if (!ended)
        record("the case did not end in time");
    record("result " + std::to_string(out));
    return out;
}

inline std::string work_folder()
{
    const auto it = fs::temp_directory_path() /
                    ("godwitbarrow-review-" + std::to_string(getpid()));
    fs::create_directories(it);
    return it.string();
}

}  // namespace review
