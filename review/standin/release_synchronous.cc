// Databases with synchronous commits while their primaries are replaced as
// planned work: the new member starts, the primary reports that it drains, and
// the proxy has a replica promoted. An acknowledged commit must be in the log
// of the member that is promoted.

#include <random>

#include "standin.hh"

using namespace standin;
using std::chrono::microseconds;

namespace
{

/// One way between zones and between regions, as on the site.
constexpr microseconds in_zone{100};
constexpr microseconds between_zones{500};
constexpr microseconds between_regions{8000};
constexpr milliseconds promote_time{600};
/// Writers of one database, and the mean pause of each between two writes.
constexpr int writers = 3;
constexpr double writer_pause_ms = 40;

struct commit
{
    std::string id;
    clock_type::time_point at;
};

struct replica_set;

struct replicated_member
{
    replica_set& in;
    std::string id;
    std::string zone;
    /// One way from the primary and from the host, which is in its zone.
    microseconds away{0};
    std::uint16_t port = 0;
    /// Term of the pause; 0 if it receives.
    std::uint64_t paused_at = 0;
    std::size_t held = 0;
    /// Whether it reports that it will leave.
    bool draining = false;
    /// Commits that it holds since it joined or was promoted.
    std::size_t joined = 0;

    void start();
    void serve_one(int fd);
    std::string run_line(line_socket& s, char& state, const std::string& line);
    std::string status();
};

/// One database. The log starts at number 0 of `first_term`.
struct replica_set
{
    std::string name;
    std::mutex mutex;
    std::condition_variable changed;
    std::string primary;
    std::uint64_t term = 3;
    std::vector<commit> log;
    std::map<std::string, std::unique_ptr<replicated_member>> members;
    /// Writes that were rolled back by a promotion.
    std::set<std::string> rolled_back;
    std::set<std::string> acknowledged;

    std::size_t received(const replicated_member& m, clock_type::time_point now)
    {
        if (m.id == primary)
            return log.size();
        if (m.paused_at > 0)
            return m.held;
        std::size_t n = log.size();
        while (n > m.joined && log[n - 1].at + m.away > now)
            --n;
        return n;
    }

    std::string position(std::size_t n) const
    {
        return std::to_string(term) + "." + std::to_string(n);
    }

    replicated_member& add(const std::string& id, const std::string& zone,
                           microseconds away)
    {
        auto& m = *(members[id] = std::make_unique<replicated_member>(
                        replicated_member{*this, id, zone, away}));
        m.joined = log.size();
        m.start();
        return m;
    }

    /// Commits a write and waits until a replica has received it. False if the
    /// commit was rolled back.
    bool write(const std::string& id)
    {
        std::unique_lock lock(mutex);
        const auto number = log.size() + 1;
        const auto term_then = term;
        log.push_back({id, clock_type::now()});
        while (true)
        {
            if (rolled_back.count(id) > 0)
                return false;
            if (term != term_then)
                return true;
            microseconds back{0};
            bool reached = false;
            for (const auto& [key, m] : members)
                if (key != primary && received(*m, clock_type::now()) >= number)
                {
                    reached = true;
                    back = m->away;
                    break;
                }
            lock.unlock();
            std::this_thread::sleep_for(reached ? back : microseconds(200));
            lock.lock();
            if (reached)
                return rolled_back.count(id) == 0;
        }
    }

    /// The promotion takes effect: the member leads with what it received.
    void promoted(const std::string& id)
    {
        std::lock_guard lock(mutex);
        if (id == primary)
            return;
        const auto keeps = received(*members.at(id), clock_type::now());
        record(
            "%s leads %s in term %llu with %zu commits; the log of %s had "
            "%zu",
            id.c_str(), name.c_str(), static_cast<unsigned long long>(term + 1),
            keeps, primary.c_str(), log.size());
        for (auto n = keeps; n < log.size(); ++n)
        {
            rolled_back.insert(log[n].id);
            record("%s: commit %zu (%s) is not in the log of %s", name.c_str(),
                   n + 1, log[n].id.c_str(), id.c_str());
        }
        log.resize(keeps);
        primary = id;
        ++term;
        for (auto& [key, m] : members)
        {
            m->paused_at = 0;
            m->joined = 0;
        }
    }
};

void replicated_member::start()
{
    port = serve([this](int fd) { serve_one(fd); });
}

std::string replicated_member::status()
{
    const auto n = in.received(*this, clock_type::now());
    return "ROW " + std::string(in.primary == id ? "primary " : "replica ") +
           std::to_string(in.term) + " " + in.position(n) + " " +
           std::to_string(paused_at) + " 0 0 1\r\nDONE -\r\nREADY I " +
           in.position(n) + "\r\n";
}

std::string replicated_member::run_line(line_socket&, char& state,
                                        const std::string& line)
{
    const auto end = line.find(' ', 6);
    const auto query = line.substr(6, end - 6);
    auto text = line.substr(end + 1);
    const auto word = text.substr(0, text.find(' '));
    bool committed = true;
    if (word == "WRITE")
    {
        {
            std::lock_guard lock(in.mutex);
            if (in.primary != id)
                return "ERROR READONLY " + id + "\r\nREADY I " +
                       in.position(in.received(*this, clock_type::now())) +
                       "\r\n";
        }
        sleep_ms(2);
        committed = in.write(query);
    }
    std::lock_guard lock(in.mutex);
    const auto at = in.position(in.received(*this, clock_type::now()));
    if (!committed)
        return "ERROR READONLY " + id + "\r\nREADY I " + at + "\r\n";
    if (word == "STATUS")
        return status();
    if (word == "PAUSE")
    {
        const auto term = std::stoull(text.substr(6));
        const bool pauses = in.primary != id && term > in.term;
        record("%s: PAUSE %llu, the newest term is %llu: %s", id.c_str(),
               static_cast<unsigned long long>(term),
               static_cast<unsigned long long>(in.term),
               pauses ? "stops receiving" : "goes on receiving");
        if (pauses)
        {
            held = in.received(*this, clock_type::now());
            paused_at = term;
        }
        return status();
    }
    if (word == "RESUME")
    {
        paused_at = 0;
        return status();
    }
    if (word == "BEGIN" && text != "BEGIN READ" && in.primary != id)
        return "ERROR READONLY " + id + "\r\nREADY I " + at + "\r\n";
    if (word == "BEGIN")
        state = 'T';
    if (word == "ROLLBACK" || word == "COMMIT")
        state = 'I';
    const bool signs = word == "WRITE" || word == "READ" || word == "COMMIT";
    return std::string(word == "READ" ? "ROW x\r\n" : "") + "DONE " +
           (signs ? "7." + id + "." + query : "-") + "\r\nREADY " + state +
           " " + at + "\r\n";
}

void replicated_member::serve_one(int fd)
{
    line_socket s{fd, {}};
    std::string line;
    char state = 'I';
    bool open = s.get_line(line, 3600 * 1000);
    std::this_thread::sleep_for(2 * away);
    {
        std::lock_guard lock(in.mutex);
        const bool mine = line.rfind("STARTUP " + in.name + " ", 0) == 0 &&
                          line.size() > id.size() &&
                          line.substr(line.size() - id.size()) == id;
        if (!mine)
            s.put("ERROR MISROUTED " + id + "\r\n");
        open =
            open && mine &&
            s.put("READY I " +
                  in.position(in.received(*this, clock_type::now())) + "\r\n");
    }
    while (open && s.get_line(line, 3600 * 1000))
    {
        std::this_thread::sleep_for(away);
        std::string out;
        do
        {
            if (line == "TERMINATE")
                open = false;
            else
                out += run_line(s, state, line);
        } while (open && s.input.find("\r\n") != std::string::npos &&
                 s.get_line(line, 1));
        std::this_thread::sleep_for(away);
        open = open && s.put(out);
    }
    s.close();
}

void announce(platform& p, const replicated_member& m)
{
    const bool leads = m.in.primary == m.id;
    p.put("servers", m.id,
          json::object{{"service", m.in.name},
                       {"addr", "127.0.0.1:" + std::to_string(m.port)},
                       {"zone", m.zone},
                       {"version", "v1"},
                       {"slots", 6},
                       {"state", m.draining ? "draining" : "ready"},
                       {"cold_left_ms", 0},
                       {"db_role", leads ? "primary" : "replica"},
                       {"seq", 1},
                       {"born", 1790000000000}});
}

void write_on(const host_process& h, replica_set& db, int number,
              const std::atomic<bool>& ends)
{
    std::mt19937 random(static_cast<unsigned>(number));
    std::exponential_distribution<double> pause(1 / writer_pause_ms);
    int session = 0;
    while (!ends)
    {
        client c{db.name + "w" + std::to_string(number) + "s" +
                     std::to_string(++session),
                 {}};
        if (!c.open(h, "grants-" + db.name))
        {
            sleep_ms(200);
            continue;
        }
        while (!ends)
        {
            const auto id = c.next_id();
            const auto a =
                c.ask(id, "WRITE k" + std::to_string(number) + " v" + id);
            if (!a.complete)
                break;
            if (a.ok)
            {
                std::lock_guard lock(db.mutex);
                db.acknowledged.insert(id);
            }
            sleep_ms(static_cast<int>(pause(random)));
        }
        c.socket.close();
    }
}

}  // namespace

int main(int argc, char** argv)
{
    const auto args = read_arguments(argc, argv);
    platform store;
    std::map<std::string, std::unique_ptr<replica_set>> all;
    std::map<std::string, std::uint64_t> tokens;
    std::mutex tokens_mutex;
    store.start();
    json::array routes;
    json::array services;
    for (const char* name :
         {"da1", "db2", "dc3", "dd4", "de5", "df6", "dg7", "dh8"})
    {
        auto& db = *(all[name] = std::make_unique<replica_set>());
        db.name = name;
        db.primary = std::string("i-") + name + "-p";
        db.add(db.primary, "cairo-zamalek", in_zone);
        db.add(std::string("i-") + name + "-q", "cairo-heliopolis",
               between_zones);
        db.add(std::string("i-") + name + "-r", "alex-smouha", between_regions);
        for (const auto& [id, m] : db.members)
            announce(store, *m);
        routes.push_back(
            route(std::string("grants-") + name, name, "primary", 0));
        services.push_back(json::object{
            {"name", name}, {"max_conns", 185}, {"sync_replicas", 1}});
    }
    store.put("op", "config",
              json::object{{"version", 4},
                           {"routes", routes},
                           {"services", services},
                           {"limits", json::object{{"tx_idle_ms", 4000}}}});
    store.promote = [&](const std::string& service, const std::string& id,
                        const std::string&, std::uint64_t token)
    {
        std::lock_guard lock(tokens_mutex);
        auto& highest = tokens[service];
        if (token < highest || all.count(service) == 0 ||
            all[service]->members.count(id) == 0)
            return 409;
        highest = token;
        auto& db = *all[service];
        std::thread(
            [&db, &store, id]
            {
                std::this_thread::sleep_for(promote_time);
                db.promoted(id);
                std::lock_guard lock2(db.mutex);
                for (const auto& [key, m] : db.members)
                    announce(store, *m);
            })
            .detach();
        return 200;
    };
    auto h = start_host(args.scratch, "host-1", store);
    if (!await_ready(h, 10000))
    {
        end_host(h);
        return 2;
    }
    std::atomic<bool> ends{false};
    std::vector<std::thread> threads;
    for (const auto& [name, db] : all)
        for (int n = 0; n < writers; ++n)
            threads.emplace_back(write_on, h, std::ref(*db), n,
                                 std::cref(ends));
    sleep_ms(3000);
    for (const auto& [name, db] : all)
    {
        if (args.trouble)
        {
            // The new one starts first, then the old one drains.
            const auto old = db->primary;
            {
                std::lock_guard lock(db->mutex);
                auto& fresh =
                    db->add("i-" + name + "-s", "cairo-zamalek", in_zone);
                announce(store, fresh);
            }
            sleep_ms(500);
            std::lock_guard lock(db->mutex);
            record("%s reports that it drains", old.c_str());
            db->members.at(old)->draining = true;
            announce(store, *db->members.at(old));
        }
        sleep_ms(2500);
    }
    ends = true;
    for (auto& t : threads)
        t.join();
    int status = 0;
    const bool crashed = has_ended(h, status);
    end_host(h);
    std::size_t acknowledged = 0;
    std::size_t lost = 0;
    std::size_t promotions = 0;
    for (const auto& [name, db] : all)
    {
        std::lock_guard lock(db->mutex);
        acknowledged += db->acknowledged.size();
        promotions += db->term - 3;
        for (const auto& id : db->acknowledged)
            if (db->rolled_back.count(id) > 0)
            {
                ++lost;
                record(
                    "BROKEN LOST: %s: the write %s was acknowledged to its "
                    "client and is not in the log of the promoted member",
                    name.c_str(), id.c_str());
            }
    }
    record(
        "%zu writes acknowledged, %zu promotions, %zu of the writes lost, "
        "host %s",
        acknowledged, promotions, lost, crashed ? "ended by itself" : "ran on");
    std::printf("%zu acknowledged, %zu promotions, %zu lost\n", acknowledged,
                promotions, lost);
    std::fflush(stdout);
    if (acknowledged < 100 || (args.trouble && promotions == 0))
        std::_Exit(2);
    std::_Exit(lost > 0 ? 1 : 0);
}
