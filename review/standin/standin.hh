#pragma once

// Stand-ins for the platform, the members and the clients, after PROTOCOL.md.
// One thread a connection, blocking sockets, one lock for all state. All
// listeners are on loopback addresses and free ports.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin
{

namespace json = boost::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               clock_type::now().time_since_epoch())
        .count();
}

inline void sleep_ms(int n)
{
    std::this_thread::sleep_for(milliseconds(n));
}

// ---------------------------------------------------------------- record

struct recorder
{
    std::mutex mutex;
    FILE* file = nullptr;
    std::int64_t began = now_ms();
};

inline recorder& record_file()
{
    static recorder it;
    return it;
}

inline void record(const char* format, ...)
{
    auto& it = record_file();
    std::lock_guard lock(it.mutex);
    if (!it.file)
        return;
    std::fprintf(it.file, "%8.3f ", (now_ms() - it.began) / 1000.0);
    va_list args;
    va_start(args, format);
    std::vfprintf(it.file, format, args);
    va_end(args);
    std::fputc('\n', it.file);
    std::fflush(it.file);
}

// ---------------------------------------------------------------- sockets

/// One TCP connection that carries lines ended by CR LF.
struct line_socket
{
    int fd = -1;
    std::string input;

    /// Reads until `input` holds `mark`. False at the end or after `limit`.
    bool fill_until(const std::string& mark, int limit)
    {
        const auto end = now_ms() + limit;
        while (input.find(mark) == std::string::npos)
            if (!fill(static_cast<int>(end - now_ms())))
                return false;
        return true;
    }

    bool fill(int limit)
    {
        if (limit <= 0)
            return false;
        pollfd p{fd, POLLIN, 0};
        if (::poll(&p, 1, limit) <= 0)
            return false;
        char buf[16384];
        const auto n = ::recv(fd, buf, sizeof buf, 0);
        if (n <= 0)
            return false;
        input.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    bool get_line(std::string& to, int limit)
    {
        if (!fill_until("\r\n", limit))
            return false;
        const auto end = input.find("\r\n");
        to = input.substr(0, end);
        input.erase(0, end + 2);
        return true;
    }

    bool put(const std::string& bytes) const
    {
        std::size_t done = 0;
        while (done < bytes.size())
        {
            const auto n = ::send(fd, bytes.data() + done, bytes.size() - done,
                                  MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            done += static_cast<std::size_t>(n);
        }
        return true;
    }

    void close()
    {
        if (fd >= 0)
            ::close(fd);
        fd = -1;
    }
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return to;
}

inline bool connect_to(line_socket& it, std::uint16_t port)
{
    it.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = loopback(port);
    if (::connect(it.fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) !=
        0)
    {
        it.close();
        return false;
    }
    const int one = 1;
    ::setsockopt(it.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return true;
}

/// Listens on a free port; each connection gets a thread.
inline std::uint16_t serve(std::function<void(int fd)> handler)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = loopback(0);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd, 256) != 0)
        std::exit(2);
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    std::thread(
        [fd, handler]
        {
            while (true)
            {
                const int n = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (n < 0)
                    continue;
                const int one = 1;
                ::setsockopt(n, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread(handler, n).detach();
            }
        })
        .detach();
    return ntohs(at.sin_port);
}

/// A port that was free a moment ago.
inline std::uint16_t free_port()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = loopback(0);
    ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(fd);
    return ntohs(at.sin_port);
}

// ---------------------------------------------------------------- platform

inline std::string base64_encode(const std::string& from)
{
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < from.size(); n += 3)
    {
        std::uint32_t v = 0;
        for (std::size_t k = 0; k < 3; ++k)
            v = v << 8 |
                (n + k < from.size() ? static_cast<unsigned char>(from[n + k])
                                     : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out += n + k <= from.size() ? digits[v >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

inline std::string base64_decode(const std::string& from)
{
    std::string out;
    std::uint32_t v = 0;
    int bits = 0;
    for (const char c : from)
    {
        int d = 0;
        if (c >= 'A' && c <= 'Z')
            d = c - 'A';
        else if (c >= 'a' && c <= 'z')
            d = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            d = c - '0' + 52;
        else if (c == '+')
            d = 62;
        else if (c == '/')
            d = 63;
        else
            break;
        v = v << 6 | static_cast<std::uint32_t>(d);
        bits += 6;
        if (bits < 8)
            continue;
        bits -= 8;
        out += static_cast<char>(v >> bits & 255);
    }
    return out;
}

struct http_request
{
    std::string verb;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_reply
{
    int code = 200;
    std::string body = "{}";
};

inline bool read_request(line_socket& from, http_request& to)
{
    constexpr int an_hour = 3600 * 1000;
    std::string line;
    if (!from.get_line(line, an_hour))
        return false;
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    to = {};
    to.verb = line.substr(0, first);
    auto target = line.substr(first + 1, second - first - 1);
    const auto mark = target.find('?');
    to.path = target.substr(0, mark);
    auto rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty())
    {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto part = rest.substr(0, end);
        const auto eq = std::min(part.find('='), part.size());
        to.query[part.substr(0, eq)] =
            eq < part.size() ? part.substr(eq + 1) : "";
        rest = end < rest.size() ? rest.substr(end + 1) : "";
    }
    while (from.get_line(line, an_hour) && !line.empty())
    {
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        to.headers[name] = value;
    }
    const auto size =
        std::strtoul(to.headers["content-length"].c_str(), nullptr, 10);
    while (from.input.size() < size)
        if (!from.fill(an_hour))
            return false;
    to.body = from.input.substr(0, size);
    from.input.erase(0, size);
    return true;
}

inline bool write_reply(const line_socket& to, const http_reply& it)
{
    return to.put("HTTP/1.1 " + std::to_string(it.code) +
                  " X\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(it.body.size()) + "\r\n\r\n" + it.body);
}

/// The metadata store in the form "table", and POST /promote.
struct platform
{
    static constexpr std::size_t rows_of_a_page = 500;
    static constexpr std::size_t bytes_of_a_page = 1'000'000;

    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, row>> tables;
    std::uint64_t version = 0;
    std::uint16_t port = 0;
    /// Carries out an order and returns its status.
    std::function<int(const std::string& service, const std::string& id,
                      const std::string& holder, std::uint64_t token)>
        promote = [](auto&&...)
    {
        return 200;
    };

    void start()
    {
        port = serve([this](int fd) { run(fd); });
    }

    void put(const std::string& table, const std::string& key,
             const json::value& value)
    {
        std::lock_guard lock(mutex);
        tables[table][key] = {json::serialize(value), ++version, false};
        changed.notify_all();
    }

    /// Writes a value of any bytes, as another writer may.
    void put_bytes(const std::string& table, const std::string& key,
                   const std::string& value)
    {
        std::lock_guard lock(mutex);
        tables[table][key] = {value, ++version, false};
        changed.notify_all();
    }

    void run(int fd)
    {
        line_socket s{fd, {}};
        http_request r;
        while (read_request(s, r))
            if (!write_reply(s, answer(r)))
                break;
        s.close();
    }

    json::array rows_of(const std::string& table, std::uint64_t after,
                        bool with_deleted, const std::string& from,
                        const std::string& to)
    {
        std::vector<std::pair<std::uint64_t, json::object>> found;
        for (const auto& [key, it] : tables[table])
        {
            if (it.version <= after || (it.deleted && !with_deleted) ||
                key < from || (!to.empty() && key >= to))
                continue;
            json::object o{{"table", table},
                           {"part", ""},
                           {"key", key},
                           {"ver", it.version}};
            if (it.deleted)
                o["tombstone"] = true;
            else
                o["value"] = base64_encode(it.value);
            found.emplace_back(it.version, std::move(o));
        }
        if (after > 0 || with_deleted)
            std::sort(found.begin(), found.end(),
                      [](auto& a, auto& b) { return a.first < b.first; });
        json::array out;
        for (auto& [n, o] : found)
            out.push_back(std::move(o));
        return out;
    }

    http_reply page(json::array rows, bool has_more = false)
    {
        return {200, json::serialize(json::object{{"rows", std::move(rows)},
                                                  {"has_more", has_more},
                                                  {"ver", version},
                                                  {"now_ms", now_ms()}})};
    }

    http_reply transact(const std::string& body)
    {
        const auto call = json::parse(body);
        std::lock_guard lock(mutex);
        for (const auto& it : call.at("precondition").as_array())
        {
            const auto& t = tables[it.at("table").as_string().c_str()];
            const auto n = t.find(it.at("key").as_string().c_str());
            const auto has =
                n == t.end() || n->second.deleted ? 0 : n->second.version;
            if (has != it.at("ver").to_number<std::uint64_t>())
                return {412, "{\"rows\":[]}"};
        }
        ++version;
        for (const auto& it : call.at("puts").as_array())
            tables[it.at("table").as_string().c_str()]
                  [it.at("key").as_string().c_str()] = {
                      base64_decode(it.at("value").as_string().c_str()),
                      version, false};
        changed.notify_all();
        return {200, json::serialize(
                         json::object{{"ver", version}, {"now_ms", now_ms()}})};
    }

    http_reply answer(http_request& r)
    {
        if (r.path == "/rows-get")
        {
            std::lock_guard lock(mutex);
            auto rows = rows_of(r.query["table"], 0, false, r.query["from"],
                                r.query["to"]);
            std::size_t fits = 0;
            std::size_t bytes = 0;
            while (fits < rows.size() && fits < rows_of_a_page)
            {
                bytes += json::serialize(rows[fits]).size();
                if (bytes > bytes_of_a_page)
                    break;
                ++fits;
            }
            const bool has_more = fits < rows.size();
            rows.resize(fits);
            return page(std::move(rows), has_more);
        }
        if (r.path == "/rows-feed")
        {
            std::unique_lock lock(mutex);
            const auto after = std::stoull(r.query["after"]);
            json::array rows;
            changed.wait_for(lock, milliseconds(std::stoul(r.query["wait_ms"])),
                             [&]
                             {
                                 rows = rows_of(r.query["table"], after, true,
                                                "", "");
                                 return !rows.empty();
                             });
            return page(std::move(rows));
        }
        if (r.path == "/rows-tx")
            return transact(r.body);
        if (r.path == "/promote")
        {
            const auto body = json::parse(r.body);
            const std::string service = body.at("service").as_string().c_str();
            const std::string id = body.at("id").as_string().c_str();
            const auto holder = r.headers["x-godwitbarrow-lease-holder"];
            const auto token =
                std::stoull(r.headers["x-godwitbarrow-fence-token"]);
            const int code = promote(service, id, holder, token);
            record("platform: POST /promote %s %s by %s token %llu -> %d",
                   service.c_str(), id.c_str(), holder.c_str(),
                   static_cast<unsigned long long>(token), code);
            return {code, "{}"};
        }
        return {404, "{}"};
    }
};

// ---------------------------------------------------------------- members

struct member;

/// One connection to a member.
struct member_session
{
    line_socket socket;
    std::map<std::string, std::string> values;
    struct prepared
    {
        bool writes = false;
        std::string shape;
    };
    std::map<std::string, prepared> statements;
    char state = 'I';
    bool read_only = false;
    bool began = false;
    std::vector<std::pair<std::string, std::string>> unwritten;
};

/// A statement of a client that a member ran.
struct run
{
    std::string member;
    std::string id;
    std::string text;
    std::map<std::string, std::string> values;
};

/// One database of a primary and replicas that hold its log at once.
struct group
{
    std::string name;
    std::mutex mutex;
    std::string primary;
    std::uint64_t term = 3;
    std::uint64_t position = 100;
    std::map<std::string, std::string> data;
    std::vector<run> runs;
    std::function<void(const run&)> ran = [](const run&) {
    };
    /// Returns the code with which a member refuses a request unrun.
    std::function<std::optional<std::string>(const std::string& member,
                                             const std::string& id,
                                             const std::string& text)>
        refuse = [](auto&&...)
    {
        return std::nullopt;
    };
};

struct member
{
    group& in;
    std::string id;
    std::string zone;
    std::uint16_t port = 0;
    int work_ms = 2;

    void start()
    {
        port = serve([this](int fd) { serve_one(fd); });
    }

    std::string position() const
    {
        return std::to_string(in.term) + '.' + std::to_string(in.position);
    }

    std::string done(const member_session& s, const std::string& rows,
                     const std::string& signature) const
    {
        return rows + "DONE " + signature + "\r\nREADY " + s.state + ' ' +
               position() + "\r\n";
    }

    std::string error(const member_session& s, const std::string& code) const
    {
        return "ERROR " + code + " of " + id + "\r\nREADY " + s.state + ' ' +
               position() + "\r\n";
    }

    std::string sign(const std::string& query) const
    {
        return "7." + id + "." +
               std::to_string(std::hash<std::string>()(query + id));
    }

    void serve_one(int fd)
    {
        constexpr int an_hour = 3600 * 1000;
        member_session s;
        s.socket.fd = fd;
        std::string line;
        if (!s.socket.get_line(line, an_hour))
            return s.socket.close();
        std::string name;
        std::string who;
        std::string expected;
        {
            char a[256] = "";
            char b[256] = "";
            char c[256] = "";
            std::sscanf(line.c_str(), "STARTUP %255s %255s %255s", a, b, c);
            name = a;
            who = b;
            expected = c;
        }
        if (name != in.name || (!expected.empty() && expected != id))
        {
            s.socket.put("ERROR MISROUTED " + id + "\r\n");
            return s.socket.close();
        }
        std::string hello;
        {
            std::lock_guard lock(in.mutex);
            hello = "READY I " + position() + "\r\n";
        }
        bool open = s.socket.put(hello);
        while (open && s.socket.get_line(line, an_hour))
        {
            if (line == "TERMINATE" || line.rfind("QUERY ", 0) != 0)
                break;
            const auto end = line.find(' ', 6);
            const auto query = line.substr(6, end - 6);
            const auto text =
                end == std::string::npos ? "" : line.substr(end + 1);
            const auto answer = execute(s, query, text);
            record("%s: QUERY %s %s -> %s", id.c_str(), query.c_str(),
                   text.c_str(), answer.substr(0, answer.find('\r')).c_str());
            open = s.socket.put(answer);
        }
        s.socket.close();
    }

    bool leads() const
    {
        return in.primary == id;
    }

    std::string execute(member_session& s, const std::string& query,
                        std::string text)
    {
        if (const auto code = in.refuse(id, query, text))
        {
            std::lock_guard lock(in.mutex);
            return error(s, *code);
        }
        if (text.rfind("AFTER ", 0) == 0)
        {
            // Replicas here hold all commits at once.
            text = text.substr(text.find(' ', 6) + 1);
        }
        const auto word = text.substr(0, text.find(' '));
        const bool slot = word == "READ" || word == "WRITE" ||
                          word == "EXECUTE" || word == "COMMIT";
        if (slot)
            sleep_ms(work_ms);
        std::lock_guard lock(in.mutex);
        return run_statement(s, query, text, word);
    }

    std::string run_statement(member_session& s, const std::string& query,
                              const std::string& text, const std::string& word)
    {
        const auto rest =
            text.size() > word.size() ? text.substr(word.size() + 1) : "";
        const auto name = rest.substr(0, rest.find(' '));
        const auto data =
            name.size() < rest.size() ? rest.substr(name.size() + 1) : "";
        if (word == "STATUS")
            return done(
                s,
                std::string("ROW ") + (leads() ? "primary " : "replica ") +
                    std::to_string(in.term) + ' ' + position() + " 0 0 0 1\r\n",
                "-");
        if (word == "ROLLBACK")
        {
            s.state = 'I';
            s.unwritten.clear();
            return done(s, "", "-");
        }
        if (s.state == 'E')
            return error(s, "MALFORMED");
        if (word == "RESET")
        {
            s.values.clear();
            s.statements.clear();
            return done(s, "", "-");
        }
        if (word == "SET")
        {
            s.values[name] = data;
            return done(s, "", "-");
        }
        if (word == "PREPARE")
        {
            const bool writes = data.rfind("WRITE ", 0) == 0;
            s.statements[name] = {writes, data.substr(data.find(' ') + 1)};
            return done(s, "", "-");
        }
        if (word == "DEALLOC")
        {
            s.statements.erase(name);
            return done(s, "", "-");
        }
        if (word == "BEGIN")
        {
            s.read_only = rest == "READ";
            if (!s.read_only && !leads())
                return error(s, "READONLY");
            s.state = 'T';
            return done(s, "", "-");
        }
        if (word == "COMMIT")
        {
            note(s, query, text);
            if (!s.unwritten.empty())
                ++in.position;
            for (const auto& [item, value] : s.unwritten)
                in.data[item] = value;
            s.unwritten.clear();
            s.state = 'I';
            return done(s, "", sign(query));
        }
        return run_data(s, query, text, word, name, data);
    }

    std::string run_data(member_session& s, const std::string& query,
                         const std::string& text, const std::string& word,
                         const std::string& name, const std::string& data)
    {
        bool writes = word == "WRITE";
        std::string item = name;
        std::string value = data;
        if (word == "EXECUTE")
        {
            const auto it = s.statements.find(name);
            if (it == s.statements.end())
                return error(s, "NOSTMT");
            writes = it->second.writes;
            item = data.substr(0, data.find(' '));
            value =
                item.size() < data.size() ? data.substr(item.size() + 1) : "";
        }
        else if (word != "READ" && word != "WRITE")
            return error(s, "MALFORMED");
        if (writes && !leads())
            return error(s, "READONLY");
        note(s, query, text);
        if (!writes)
            return done(s, "ROW " + in.data[item] + "\r\n", sign(query));
        if (s.state == 'T')
        {
            s.unwritten.emplace_back(item, value);
        }
        else
        {
            in.data[item] = value;
            ++in.position;
        }
        return done(s, "", sign(query));
    }

    void note(const member_session& s, const std::string& query,
              const std::string& text)
    {
        in.runs.push_back({id, query, text, s.values});
        in.ran(in.runs.back());
    }
};

inline void register_member(platform& p, const member& m, std::uint64_t seq = 1)
{
    p.put("servers", m.id,
          json::object{{"service", m.in.name},
                       {"addr", "127.0.0.1:" + std::to_string(m.port)},
                       {"zone", m.zone},
                       {"version", "v1"},
                       {"slots", 5},
                       {"state", "ready"},
                       {"cold_left_ms", 0},
                       {"db_role", m.leads() ? "primary" : "replica"},
                       {"seq", seq},
                       {"born", 1790000000000}});
}

// ---------------------------------------------------------------- hosts

struct host_process
{
    std::string name;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t metrics = 0;
    pid_t pid = 0;
};

/// Starts one proxy with the command of the deploy file and the settings of
/// its template.
inline host_process start_host(const std::string& folder,
                               const std::string& name, const platform& p)
{
    host_process h{name, free_port(), free_port(), free_port(), 0};
    const auto path = folder + "/" + name + ".ini";
    const auto at = [](std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    };
    std::ofstream(path) << "[host]\nname = " << name
                        << "\ndata_centre = north\nworkers = 1\n[listen]\n"
                        << "callers = " << at(h.front)
                        << "\nreadiness = " << at(h.ready)
                        << "\nreadiness_path = /readyz\nmetrics = "
                        << at(h.metrics)
                        << "\n[store]\naddress = " << at(p.port)
                        << "\n[promotions]\naddress = " << at(p.port)
                        << "\nfencing = true\n[shutdown]\ngrace = 6s\n"
                        << "[members]\nleaving_limit = 7000ms\n";
    const auto log = folder + "/" + name + ".log";
    h.pid = ::fork();
    if (h.pid == 0)
    {
        // The host ends with this program, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (!std::freopen(log.c_str(), "a", stdout))
            ::_exit(127);
        ::setenv("GODWITBARROW_CONFIG", path.c_str(), 1);
        ::execl("target/bin/godwitbarrow", "target/bin/godwitbarrow",
                "--mode=pooler", static_cast<char*>(nullptr));
        ::_exit(127);
    }
    record("host %s started, pid %d", name.c_str(), static_cast<int>(h.pid));
    return h;
}

inline bool is_ready(const host_process& h)
{
    line_socket s;
    if (!connect_to(s, h.ready))
        return false;
    std::string line;
    const bool ok = s.put("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
                    s.get_line(line, 1000) &&
                    line.find(" 200") != std::string::npos;
    s.close();
    return ok;
}

inline bool await_ready(const host_process& h, int limit)
{
    const auto end = now_ms() + limit;
    while (now_ms() < end)
    {
        if (is_ready(h))
            return true;
        sleep_ms(50);
    }
    return false;
}

/// Ends a process that this program started. Returns its wait status.
inline int end_host(host_process& h, int signal_number = SIGKILL)
{
    if (h.pid <= 0)
        return 0;
    int status = 0;
    ::kill(h.pid, signal_number);
    ::waitpid(h.pid, &status, 0);
    h.pid = 0;
    return status;
}

/// Whether the process has ended by itself.
inline bool has_ended(host_process& h, int& status)
{
    if (h.pid <= 0 || ::waitpid(h.pid, &status, WNOHANG) != h.pid)
        return false;
    h.pid = 0;
    return true;
}

// ---------------------------------------------------------------- clients

struct client_answer
{
    bool complete = false;
    bool ok = false;
    std::string signature;
    std::string code;
    std::vector<std::string> rows;
    char state = '?';
};

struct client
{
    std::string name;
    line_socket socket;
    int last_id = 0;

    bool open(const host_process& h, const std::string& database)
    {
        socket = {};
        std::string line;
        return connect_to(socket, h.front) &&
               socket.put("STARTUP " + database + " " + name + "\r\n") &&
               socket.get_line(line, 2000) && line.rfind("READY I", 0) == 0;
    }

    std::string next_id()
    {
        return name + "q" + std::to_string(++last_id);
    }

    client_answer read_answer(const std::string& id, int limit)
    {
        client_answer out;
        std::string line;
        while (socket.get_line(line, limit))
        {
            record("%s: got for %s: %s", name.c_str(), id.c_str(),
                   line.c_str());
            if (line.rfind("ROW ", 0) == 0)
                out.rows.push_back(line.substr(4));
            else if (line.rfind("DONE ", 0) == 0)
            {
                out.ok = true;
                out.signature = line.substr(5);
            }
            else if (line.rfind("ERROR ", 0) == 0)
                out.code = line.substr(6, line.find(' ', 6) - 6);
            else if (line.rfind("READY ", 0) == 0)
            {
                out.complete = true;
                out.state = line[6];
                return out;
            }
        }
        record("%s: no complete answer for %s", name.c_str(), id.c_str());
        return out;
    }

    client_answer ask(const std::string& id, const std::string& text,
                      int limit = 5000)
    {
        record("%s: sends QUERY %s %s", name.c_str(), id.c_str(), text.c_str());
        if (!socket.put("QUERY " + id + " " + text + "\r\n"))
            return {};
        return read_answer(id, limit);
    }
};

// ---------------------------------------------------------------- a case

inline json::object route(const std::string& database,
                          const std::string& service, const std::string& type,
                          int max_stale_ms)
{
    return {{"name", database},
            {"host", database},
            {"service", service},
            {"type", type},
            {"max_stale_ms", max_stale_ms},
            {"timeout_ms", 1000},
            {"slo_ms", 800},
            {"priority", 1}};
}

/// One group of three members, the routes `PRIMARY` to it and the platform.
struct deployment
{
    platform store;
    group db;
    std::vector<std::unique_ptr<member>> members;

    void start()
    {
        db.name = "rightsa1";
        db.primary = "i-a1";
        store.start();
        for (const char* id : {"i-a1", "i-b2", "i-c3"})
        {
            members.push_back(std::make_unique<member>(
                member{db, id, id[2] == 'a' ? "north" : "south"}));
            members.back()->start();
            register_member(store, *members.back());
        }
        configure(4);
    }

    void configure(int version)
    {
        store.put(
            "op", "config",
            json::object{
                {"version", version},
                {"routes",
                 json::array{route("grants", db.name, "primary", 0),
                             route("lookup", db.name, "bounded", 1500),
                             route("royalty", db.name, "session", 2500)}},
                {"services", json::array{json::object{{"name", db.name},
                                                      {"max_conns", 55},
                                                      {"sync_replicas", 0}}}},
                {"limits", json::object{{"tx_idle_ms", 3000}}}});
    }
};

struct arguments
{
    std::string folder;
    std::string scratch;
    bool trouble = true;
};

/// argv: the folder of the case and a temporary folder.
inline arguments read_arguments(int argc, char** argv)
{
    if (argc < 3)
        std::exit(2);
    ::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    arguments out{argv[1], argv[2], !trouble || std::string(trouble) != "0"};
    record_file().file = std::fopen((out.folder + "/record.txt").c_str(), "w");
    if (!record_file().file)
        std::exit(2);
    return out;
}

}  // namespace standin
