#include "load.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <sstream>

#include "http.hpp"
#include "wait.hpp"

namespace scenario
{
namespace detail
{
namespace
{

using clock = std::chrono::steady_clock;

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> it;
    std::istringstream in(text);
    for (std::string n; std::getline(in, n, ',');)
        it.push_back(n);
    return it;
}

std::string take_option(step& of, const std::string& name,
                        const std::string& fallback)
{
    const auto n = of.options.find(name);
    if (n == of.options.end())
        return fallback;
    auto value = n->second;
    of.options.erase(n);
    return value;
}

struct worker
{
    run_state& it;
    background_load& load;
    step request;
    std::vector<std::string> hosts;
    std::chrono::milliseconds pause{0};
    /// Ask a host for its health before each request, as a balancer does.
    bool balanced = false;
    std::size_t number = 0;
};

void count(background_load& load, const answer_fields& got,
           clock::time_point& last_completed)
{
    std::lock_guard lock(load.mutex);
    ++load.outcomes[got.at("outcome")];
    if (got.at("outcome") != "completed")
        return;
    const auto now = clock::now();
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - last_completed);
    load.longest_gap = std::max(load.longest_gap, gap);
    last_completed = now;
}

core::host_id pick_host(const worker& w, std::size_t n)
{
    for (std::size_t tried = 0; w.balanced && tried < w.hosts.size(); ++tried)
    {
        core::host_id host{w.hosts[(n + tried) % w.hosts.size()]};
        const auto got = call(admin_endpoint(w.it.processes, host), "GET",
                              "/healthz", "", std::chrono::seconds(1));
        if (ok(got) && std::get<http_response>(got).status == 200)
            return host;
    }
    return {w.hosts[n % w.hosts.size()]};
}

void run_worker(worker w)
{
    session own;
    auto last_completed = clock::now();
    for (std::size_t n = w.number; !w.load.stop.load(); ++n)
    {
        auto options = w.request.options;
        const auto value = fill_values(w.it, options);
        const auto via = pick_host(w, n);
        const auto got = send_request(w.it.processes, via, own, options);
        record_if_write(w.it, options, value, got, w.request.line);
        count(w.load, got, last_completed);
        wait_for(w.pause);
    }
}

std::string replace_once(std::string text, const std::string& from,
                         const std::string& to)
{
    const auto n = text.find(from);
    if (n != std::string::npos)
        text.replace(n, from.size(), to);
    return text;
}

}  // namespace
}  // namespace detail

std::string fill_values(run_state& it,
                        std::map<std::string, std::string>& options)
{
    const auto value = "v" + std::to_string(it.next_value.fetch_add(1));
    bool used = false;
    for (auto& n : options)
    {
        auto filled = detail::replace_once(n.second, "{n}", value);
        used = used || filled != n.second;
        n.second = std::move(filled);
    }
    return used ? value : std::string();
}

void record_if_write(run_state& it,
                     const std::map<std::string, std::string>& options,
                     const std::string& value, const answer_fields& got,
                     int line)
{
    if (value.empty() || options.count("access") == 0 ||
        options.at("access") != "write")
        return;
    record_write(it.writes,
                 {{options.at("group")}, value, outcome_of(got), line});
}

void start_load(run_state& it, const step& of)
{
    auto& load = it.loads.emplace_back();
    load.name = of.words.empty() ? "" : of.words[0];
    step request = of;
    const auto threads = std::strtoul(
        detail::take_option(request, "threads", "4").c_str(), nullptr, 10);
    const auto pause =
        parse_duration(detail::take_option(request, "pause", "5ms"));
    const bool balanced =
        detail::take_option(request, "balanced", "no") == "yes";
    const auto hosts = detail::split(detail::take_option(request, "via", ""));
    for (std::size_t n = 0; n < threads; ++n)
        load.threads.emplace_back(
            detail::run_worker,
            detail::worker{it, load, request, hosts,
                           ok(pause)
                               ? std::get<std::chrono::milliseconds>(pause)
                               : std::chrono::milliseconds(5),
                           balanced, n});
}

answer_fields join_load(run_state& it, const std::string& name)
{
    answer_fields got{{"completed", "0"}, {"not_run", "0"}, {"unknown", "0"}};
    for (auto& load : it.loads)
    {
        if (load.name != name)
            continue;
        load.stop.store(true);
        for (auto& n : load.threads)
            if (n.joinable())
                n.join();
        for (const auto& n : load.outcomes)
            got[n.first] = std::to_string(n.second);
        got["longest_gap_ms"] = std::to_string(load.longest_gap.count());
    }
    return got;
}

void stop_loads(run_state& it)
{
    for (auto& n : it.loads)
        join_load(it, n.name);
}

std::vector<std::string> compare_limits(const step& of,
                                        const answer_fields& got)
{
    std::vector<std::string> found;
    const std::string least = "at_least_";
    const std::string most = "at_most_";
    for (const auto& [name, value] : of.expected)
    {
        const bool is_least = name.rfind(least, 0) == 0;
        const auto field = name.substr(is_least ? least.size() : most.size());
        const auto n = got.find(field);
        const long have =
            n == got.end() ? 0 : std::strtol(n->second.c_str(), nullptr, 10);
        const long bound = std::strtol(value.c_str(), nullptr, 10);
        if (is_least ? have < bound : have > bound)
            found.push_back(
                describe_mismatch(of, name, std::to_string(have), value));
    }
    return found;
}

answer_fields read_admin(const cluster& of, const core::host_id& host,
                         const std::string& name)
{
    answer_fields it;
    const auto got =
        call_json(admin_endpoint(of, host), "GET", "/v1/admin/" + name, "",
                  std::chrono::seconds(2));
    if (!ok(got))
        return it;
    for (const auto& n : std::get<boost::json::object>(got))
        it[std::string(n.key())] = n.value().is_string()
                                       ? std::string(n.value().as_string())
                                       : boost::json::serialize(n.value());
    return it;
}

}  // namespace scenario
