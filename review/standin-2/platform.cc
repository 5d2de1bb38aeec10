#include "platform.hh"

#include <sys/socket.h>
#include <unistd.h>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <thread>

namespace review
{
namespace
{

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

std::string encode(const std::string& text)
{
    std::string out(base64::encoded_size(text.size()), '\0');
    out.resize(base64::encode(out.data(), text.data(), text.size()));
    return out;
}

std::string decode(const std::string& text)
{
    std::string out(base64::decoded_size(text.size()), '\0');
    out.resize(base64::decode(out.data(), text.data(), text.size()).first);
    return out;
}

std::string text_of(const json::value& from, const char* key)
{
    return std::string(from.at(key).as_string());
}

std::string response(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

json::object describe(const std::string& table, const std::string& key,
                      const row& it)
{
    json::object out{
        {"table", table}, {"part", ""}, {"key", key}, {"ver", it.version}};
    if (it.deleted)
        out["tombstone"] = true;
    else
        out["value"] = encode(it.value);
    return out;
}

std::string page(json::array rows, std::uint64_t version)
{
    return response(200, json::serialize(json::object{{"rows", std::move(rows)},
                                                      {"has_more", false},
                                                      {"ver", version},
                                                      {"now_ms", now_ms()}}));
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> out;
    auto at = target.find('?');
    while (at != std::string::npos)
    {
        const auto end = target.find('&', at + 1);
        const auto part =
            target.substr(at + 1, end == std::string::npos ? std::string::npos
                                                           : end - at - 1);
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            out[part.substr(0, equals)] = part.substr(equals + 1);
        at = end;
    }
    return out;
}

std::string lower(std::string it)
{
    for (auto& c : it)
        c = static_cast<char>(tolower(c));
    return it;
}

}  // namespace

store::store(record& log) : log_(log), listener_(listen_anywhere())
{
    std::thread(
        [this]
        {
            while (true)
            {
                const int socket =
                    accept4(listener_.socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                    return;
                std::thread([this, socket] { serve(socket); }).detach();
            }
        })
        .detach();
}

void store::put(const std::string& table, const std::string& key,
                const std::string& value)
{
    std::lock_guard lock(mutex_);
    tables_[table][key] = {value, ++version_, false};
    changed_.notify_all();
}

void store::remove(const std::string& table, const std::string& key)
{
    std::lock_guard lock(mutex_);
    tables_[table][key] = {{}, ++version_, true};
    changed_.notify_all();
}

void store::silence_connections()
{
    std::lock_guard lock(mutex_);
    silent_ = open_;
}

void store::await_feed(const std::string& table)
{
    std::unique_lock lock(mutex_);
    const auto seen = feeds_[table];
    fed_.wait(lock, [&] { return feeds_[table] > seen; });
}

void store::serve(int socket)
{
    {
        std::lock_guard lock(mutex_);
        open_.insert(socket);
    }
    reader in{socket, {}};
    while (const auto first = in.line())
    {
        std::map<std::string, std::string> headers;
        for (auto it = in.line(); it && !it->empty(); it = in.line())
            if (const auto colon = it->find(": "); colon != std::string::npos)
                headers[lower(it->substr(0, colon))] = it->substr(colon + 2);
        const auto size = headers.find("content-length");
        const auto body =
            in.bytes(size == headers.end() ? 0 : std::stoul(size->second));
        const auto words = split(*first);
        if (!body || words.size() < 2)
            break;
        const auto out = answer(words[0], words[1], headers, *body, socket);
        std::unique_lock lock(mutex_);
        const bool silent = silent_.count(socket) > 0;
        lock.unlock();
        if (!silent && !send_all(socket, out))
            break;
    }
    std::lock_guard lock(mutex_);
    open_.erase(socket);
    silent_.erase(socket);
    close(socket);
}

std::string store::answer(const std::string&, const std::string& target,
                          const std::map<std::string, std::string>& headers,
                          const std::string& body, int socket)
{
    const auto path = target.substr(0, target.find('?'));
    if (path == "/rows-get")
        return list(query_of(target));
    if (path == "/rows-feed")
        return feed(query_of(target), socket);
    if (path == "/rows-tx")
        return transact(body);
    if (path == "/promote")
        return promote(headers, body);
    return response(404, "{}");
}

std::string store::list(const std::map<std::string, std::string>& query)
{
    std::lock_guard lock(mutex_);
    const auto& table = query.at("table");
    const auto from = query.find("from");
    const auto to = query.find("to");
    json::array rows;
    for (const auto& [key, it] : tables_[table])
    {
        const bool before = from != query.end() && key < from->second;
        const bool after = to != query.end() && key >= to->second;
        if (!it.deleted && !before && !after)
            rows.push_back(describe(table, key, it));
    }
    return page(std::move(rows), version_);
}

std::string store::feed(const std::map<std::string, std::string>& query,
                        int socket)
{
    std::unique_lock lock(mutex_);
    const auto& table = query.at("table");
    const auto after = std::stoull(query.at("after"));
    const milliseconds wait(std::stoll(query.at("wait_ms")));
    ++feeds_[table];
    fed_.notify_all();
    if (log_feeds && table == "op")
        log_.add("store: connection " + std::to_string(socket) +
                 " waits for changes of the configuration, at most " +
                 query.at("wait_ms") + " ms");
    std::map<std::uint64_t, json::object> found;
    const auto look = [&]
    {
        for (const auto& [key, it] : tables_[table])
            if (it.version > after)
                found.emplace(it.version, describe(table, key, it));
        return !found.empty();
    };
    changed_.wait_for(lock, wait, look);
    json::array rows;
    for (auto& [version, it] : found)
        rows.push_back(std::move(it));
    return page(std::move(rows), version_);
}

std::string store::transact(const std::string& body)
{
    std::lock_guard lock(mutex_);
    const auto call = json::parse(body);
    for (const auto& it : call.at("precondition").as_array())
    {
        const auto& found = tables_[text_of(it, "table")][text_of(it, "key")];
        const auto version = found.deleted ? 0 : found.version;
        if (version != it.at("ver").to_number<std::uint64_t>())
            return response(412, "{\"rows\":[]}");
    }
    ++version_;
    for (const auto& it : call.at("puts").as_array())
        tables_[text_of(it, "table")][text_of(it, "key")] = {
            decode(text_of(it, "value")), version_, false};
    changed_.notify_all();
    return response(200, json::serialize(json::object{{"ver", version_},
                                                      {"now_ms", now_ms()}}));
}

std::string store::promote(const std::map<std::string, std::string>& headers,
                           const std::string& body)
{
    const auto call = json::parse(body);
    const auto name = text_of(call, "service");
    const auto id = text_of(call, "id");
    const auto token = std::stoull(headers.at("x-godwitbarrow-fence-token"));
    {
        std::lock_guard lock(mutex_);
        if (token < tokens_[name])
            return response(409, "{}");
        tokens_[name] = token;
    }
    log_.add("promote " + id + " by " +
             headers.at("x-godwitbarrow-lease-holder") + " with token " +
             std::to_string(token));
    return response(promoted && promoted(name, id) ? 200 : 409, "{}");
}

member::member(service& of, std::string id, record& log)
    : service_(of), id_(std::move(id)), log_(log), listener_(listen_anywhere())
{
    std::thread(
        [this]
        {
            while (true)
            {
                const int socket =
                    accept4(listener_.socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                    break;
                std::thread([this, socket] { serve(socket); }).detach();
            }
            close(listener_.socket);
        })
        .detach();
}

void member::stop()
{
    shutdown(listener_.socket, SHUT_RDWR);
}

std::string member::registration(const std::string& zone,
                                 const std::string& state) const
{
    std::lock_guard lock(service_.mutex);
    return json::serialize(json::object{
        {"service", service_.name},
        {"addr", "127.0.0.1:" + std::to_string(listener_.port)},
        {"zone", zone},
        {"version", "v1"},
        {"slots", 5},
        {"state", state},
        {"cold_left_ms", 0},
        {"db_role", service_.primary == id_ ? "primary" : "replica"},
        {"born", 1700000000000},
        {"seq", 1}});
}

void member::serve(int socket)
{
    reader in{socket, {}};
    session s;
    bool started = false;
    while (const auto line = in.line())
    {
        const auto words = split(*line);
        if (words.empty() || words[0] == "TERMINATE")
            break;
        if (words[0] == "STARTUP")
        {
            started = words.size() > 1 && words[1] == service_.name &&
                      (words.size() < 4 || words[3] == id_);
            send_all(socket,
                     started ? ready(s) : "ERROR MISROUTED " + id_ + "\r\n");
            if (!started)
                break;
            continue;
        }
        if (!started || words[0] != "QUERY" || words.size() < 3)
            break;
        const auto text =
            line->substr(line->find(words[1], 6) + words[1].size() + 1);
        if (!send_all(socket, run(s, words[1], text)))
            break;
    }
    close(socket);
}

std::string member::ready(const session& s) const
{
    std::lock_guard lock(service_.mutex);
    return std::string("READY ") + s.state + ' ' +
           std::to_string(service_.term) + '.' +
           std::to_string(service_.position) + "\r\n";
}

std::string member::run(session& s, const std::string& id, std::string text)
{
    auto words = split(text);
    if (words[0] == "AFTER")
    {
        text = text.substr(text.find(words[1]) + words[1].size() + 1);
        words = split(text);
    }
    std::string primary;
    {
        std::lock_guard lock(service_.mutex);
        primary = service_.primary;
    }
    const auto done = [&](const std::string& rows = {})
    {
        const auto signature =
            id == "-" ? std::string("-") : "sig." + id_ + '.' + id;
        return rows + "DONE " + signature + "\r\n" + ready(s);
    };
    const auto error = [&](const std::string& code)
    {
        if (s.state == 'T')
            s.state = 'E';
        return "ERROR " + code + ' ' + id_ + "\r\n" + ready(s);
    };
    const auto& word = words[0];
    if (word == "STATUS")
        return "ROW " + std::string(primary == id_ ? "primary " : "replica ") +
               ready(s).substr(8, ready(s).find('.') - 8) + ' ' +
               ready(s).substr(8, ready(s).size() - 10) + " 0 0 0 1\r\n" +
               "DONE -\r\n" + ready(s);
    if (word == "RESET")
    {
        s.values.clear();
        s.prepared.clear();
        return done();
    }
    if (word == "ROLLBACK")
    {
        s.uncommitted.clear();
        s.state = 'I';
        return done();
    }
    if (s.state == 'E')
        return "ERROR MALFORMED failed\r\n" + ready(s);
    if (word == "BEGIN")
    {
        if (words.size() == 1 && primary != id_)
            return error("READONLY");
        s.state = 'T';
        return done();
    }
    if (word == "SET" && words.size() > 2)
    {
        s.values[words[1]] = words[2];
        return done();
    }
    if (word == "PREPARE" && words.size() > 3)
    {
        s.prepared[words[1]] = {words[2] == "WRITE", words[3]};
        return done();
    }
    bool writes = word == "WRITE";
    if (word == "EXECUTE" && words.size() > 1)
    {
        const auto it = s.prepared.find(words[1]);
        if (it == s.prepared.end())
            return error("NOSTMT");
        writes = it->second.first;
        words.erase(words.begin() + 1);
    }
    if (writes && primary != id_)
        return error("READONLY");
    log_.add("member " + id_ + " runs " + id + ' ' + text.substr(0, 40));
    if (service_.work)
        pause_for(service_.work(text));
    std::string rows;
    if (word == "COMMIT")
    {
        std::lock_guard lock(service_.mutex);
        for (const auto& [item, data] : s.uncommitted)
            service_.items[item] = data;
        service_.position += s.uncommitted.empty() ? 0 : 1;
        s.uncommitted.clear();
        s.state = 'I';
    }
    else if (writes)
        rows = write(s, words[1], words.size() > 2 ? words[2] : "");
    else
        rows = read(s, words.size() > 1 ? words[1] : "");
    log_.add("member " + id_ + " answers " + id);
    return done(rows);
}

std::string member::read(session& s, const std::string& item)
{
    std::string out;
    if (service_.rows)
    {
        for (const auto& it : service_.rows(item))
            out += "ROW " + it + "\r\n";
        return out;
    }
    std::lock_guard lock(service_.mutex);
    const auto own = s.uncommitted.find(item);
    const auto it = service_.items.find(item);
    if (own != s.uncommitted.end())
        return "ROW " + own->second + "\r\n";
    return "ROW " + (it == service_.items.end() ? "none" : it->second) + "\r\n";
}

std::string member::write(session& s, const std::string& item,
                          const std::string& data)
{
    if (s.state == 'T')
    {
        s.uncommitted[item] = data;
        return {};
    }
    std::lock_guard lock(service_.mutex);
    service_.items[item] = data;
    ++service_.position;
    return {};
}

std::string configuration(int version, const std::string& service,
                          const std::vector<std::string>& extra,
                          int synchronous_replicas)
{
    json::array routes;
    const auto add = [&](const std::string& host, const char* type, int timeout,
                         int objective, int priority, int max_stale)
    {
        json::object it{{"name", "r-" + host},   {"host", host},
                        {"prefix", "/"},         {"type", type},
                        {"timeout_ms", timeout}, {"slo_ms", objective},
                        {"priority", priority},  {"service", service},
                        {"max_tries", 2}};
        if (max_stale > 0)
            it["max_stale_ms"] = max_stale;
        routes.push_back(std::move(it));
    };
    add("licences", "primary", 1000, 400, 0, 0);
    add("catalogue", "bounded", 3000, 2000, 2, 1500);
    add("statements", "session", 1000, 800, 1, 2500);
    for (const auto& it : extra)
        add(it, "primary", 1000, 400, 0, 0);
    const json::object out{
        {"version", version},
        {"routes", std::move(routes)},
        {"services",
         json::array{json::object{{"name", service},
                                  {"health_path", "/healthz"},
                                  {"max_conns", 55},
                                  {"proto", "h1"},
                                  {"tls", false},
                                  {"sync_replicas", synchronous_replicas}}}},
        {"limits", json::object{{"max_header_bytes", 16384},
                                {"max_body_bytes", 262144},
                                {"header_timeout_ms", 3000},
                                {"idle_ms", 15000},
                                {"tx_idle_ms", 3000}}}};
    return json::serialize(out);
}

}  // namespace review
