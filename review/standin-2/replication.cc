#include "replication.hh"

#include <sys/socket.h>
#include <unistd.h>
#include <boost/json.hpp>
#include <thread>

namespace review
{
namespace
{

using namespace std::chrono_literals;

constexpr milliseconds promotion_time = 600ms;
constexpr std::int64_t longest_wait_us = 3000 * 1000;

std::int64_t now_us()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               clock::now().time_since_epoch())
        .count();
}

}  // namespace

replicated_group::replicated_group(std::string name, record& log)
    : name_(std::move(name)), log_(log)
{
}

void replicated_group::add(const std::string& id, milliseconds delay)
{
    auto made = std::make_unique<replica>();
    made->id = id;
    made->delay = delay;
    made->listening = listen_anywhere();
    auto& it = *made;
    {
        std::lock_guard lock(mutex_);
        it.received = made_us_.size();
        members_.push_back(std::move(made));
    }
    std::thread(
        [this, &it]
        {
            while (true)
            {
                const int socket = accept4(it.listening.socket, nullptr,
                                           nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                    return;
                std::thread([this, &it, socket] { serve(it, socket); })
                    .detach();
            }
        })
        .detach();
}

void replicated_group::lead(const std::string& id)
{
    std::lock_guard lock(mutex_);
    primary_ = id;
}

std::string replicated_group::primary()
{
    std::lock_guard lock(mutex_);
    return primary_;
}

std::size_t replicated_group::lost()
{
    std::lock_guard lock(mutex_);
    return lost_;
}

std::string replicated_group::registration(const std::string& id,
                                           const std::string& state)
{
    std::lock_guard lock(mutex_);
    std::uint16_t port = 0;
    for (const auto& it : members_)
        if (it->id == id)
            port = it->listening.port;
    return boost::json::serialize(
        boost::json::object{{"service", name_},
                            {"addr", "127.0.0.1:" + std::to_string(port)},
                            {"zone", "cairo-zamalek"},
                            {"version", "v1"},
                            {"slots", 5},
                            {"state", state},
                            {"cold_left_ms", 0},
                            {"db_role", primary_ == id ? "primary" : "replica"},
                            {"born", 1700000000000},
                            {"seq", 1}});
}

/// Takes the commits that have arrived by now, or by the pause.
void replicated_group::receive(replica& it)
{
    if (it.id == primary_)
    {
        it.received = made_us_.size();
        return;
    }
    const auto until = it.paused_at > 0 ? it.paused_since_us : now_us();
    const auto delay_us = it.delay.count() * 1000;
    while (it.received < made_us_.size() &&
           made_us_[it.received] + delay_us <= until)
        ++it.received;
}

/// Commits and waits until one replica has received it.
bool replicated_group::commit(const std::string& id)
{
    std::unique_lock lock(mutex_);
    const auto leader = primary_;
    const auto n = made_us_.size();
    const auto made = now_us();
    made_us_.push_back(made);
    made_by_.push_back(id);
    acknowledged_.push_back(false);
    while (primary_ == leader && now_us() - made < longest_wait_us)
    {
        for (auto& it : members_)
        {
            receive(*it);
            if (it->id == primary_ || it->received <= n)
                continue;
            acknowledged_[n] = true;
            log_.add("commit " + std::to_string(n + 1) + " (" + id +
                     ") acknowledged, received by " + it->id);
            return true;
        }
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::microseconds(200));
        lock.lock();
    }
    return false;
}

bool replicated_group::promote(const std::string& id)
{
    {
        std::lock_guard lock(mutex_);
        if (id == primary_)
            return true;
    }
    std::thread([this, id] { finish_promotion(id); }).detach();
    return true;
}

void replicated_group::finish_promotion(const std::string& id)
{
    pause_for(promotion_time);
    std::lock_guard lock(mutex_);
    std::size_t kept = 0;
    for (auto& it : members_)
    {
        receive(*it);
        if (it->id == id)
            kept = it->received;
    }
    for (auto n = kept; n < made_us_.size(); ++n)
    {
        if (!acknowledged_[n])
            continue;
        ++lost_;
        log_.add("LOST: commit " + std::to_string(n + 1) + " (" + made_by_[n] +
                 ") was acknowledged and isn't in the log of " + id);
    }
    log_.add(id + " leads with " + std::to_string(kept) + " commits of " +
             std::to_string(made_us_.size()));
    made_us_.resize(kept);
    made_by_.resize(kept);
    acknowledged_.resize(kept);
    primary_ = id;
    ++term_;
    for (auto& it : members_)
    {
        it->received = std::min(it->received, kept);
        it->paused_at = 0;
    }
}

void replicated_group::serve(replica& at, int socket)
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
            started = words.size() > 1 && words[1] == name_ &&
                      (words.size() < 4 || words[3] == at.id);
            send_all(socket, started ? ready(at, s)
                                     : "ERROR MISROUTED " + at.id + "\r\n");
            if (!started)
                break;
            continue;
        }
        if (!started || words.size() < 3)
            break;
        const auto text =
            line->substr(line->find(words[1], 6) + words[1].size() + 1);
        const auto out = run(at, s, words[1], text);
        if (out.empty() || !send_all(socket, out))
            break;
    }
    close(socket);
}

std::string replicated_group::ready(const replica& at, const session& s)
{
    std::lock_guard lock(mutex_);
    return std::string("READY ") + s.state + ' ' + std::to_string(term_) + '.' +
           std::to_string(at.received) + "\r\n";
}

std::string replicated_group::status(replica& at, const session& s)
{
    std::string row;
    {
        std::lock_guard lock(mutex_);
        receive(at);
        row = std::string("ROW ") +
              (at.id == primary_ ? "primary " : "replica ") +
              std::to_string(std::max(term_, at.paused_at)) + ' ' +
              std::to_string(term_) + '.' + std::to_string(at.received) + ' ' +
              std::to_string(at.paused_at) + " 0 0 1\r\n";
    }
    return row + "DONE -\r\n" + ready(at, s);
}

std::string replicated_group::run(replica& at, session& s,
                                  const std::string& id,
                                  const std::string& text)
{
    const auto words = split(text);
    const auto& word = words[0];
    bool leads = false;
    {
        std::lock_guard lock(mutex_);
        leads = at.id == primary_;
        receive(at);
        if (word == "PAUSE" && !leads && std::stoull(words[1]) > term_)
        {
            at.paused_at = std::stoull(words[1]);
            at.paused_since_us = now_us();
            log_.add(at.id + " is paused with " + std::to_string(at.received) +
                     " commits");
        }
        if (word == "RESUME")
            at.paused_at = 0;
    }
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" ||
        word == "STEPDOWN")
        return status(at, s);
    const auto done = [&]
    {
        return "DONE " + (id == "-" ? std::string("-") : "sig." + id) + "\r\n" +
               ready(at, s);
    };
    const auto refuse = [&](const std::string& code)
    {
        s.state = s.state == 'I' ? 'I' : 'E';
        return "ERROR " + code + ' ' + at.id + "\r\n" + ready(at, s);
    };
    if (word == "ROLLBACK")
    {
        s = {};
        return done();
    }
    if (s.state == 'E')
        return refuse("MALFORMED");
    if (word == "RESET" || word == "SET" || word == "PREPARE")
        return done();
    if ((word == "BEGIN" && words.size() == 1) || word == "WRITE")
        if (!leads)
            return refuse("READONLY");
    if (word == "BEGIN")
        s.state = 'T';
    if (word == "WRITE" && s.state == 'T')
        s.wrote = true;
    const bool commits =
        (word == "WRITE" && s.state == 'I') || (word == "COMMIT" && s.wrote);
    // A commit that no replica receives gets no answer.
    if (commits && !commit(id))
        return {};
    if (word == "COMMIT")
        s = {};
    return done();
}

}  // namespace review
