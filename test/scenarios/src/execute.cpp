#include "execute.hpp"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "load.hpp"
#include "usage.hpp"
#include "wait.hpp"

namespace scenario
{
namespace detail
{
namespace
{

using failures = std::vector<std::string>;

std::string option(const step& of, const std::string& name,
                   const std::string& fallback = "")
{
    const auto n = of.options.find(name);
    return n == of.options.end() ? fallback : n->second;
}

std::string word(const step& of, std::size_t n)
{
    return n < of.words.size() ? of.words[n] : std::string();
}

failures failure(const step& at, const std::string& what)
{
    return {"line " + std::to_string(at.line) + ": " + what};
}

failures to_failures(const step& at, const core::result<std::monostate>& done)
{
    if (ok(done))
        return {};
    return failure(at, std::get<core::error>(done).message);
}

std::chrono::milliseconds duration_option(const step& of,
                                          const std::string& name,
                                          std::chrono::milliseconds fallback)
{
    const auto n = of.options.find(name);
    if (n == of.options.end())
        return fallback;
    const auto parsed = parse_duration(n->second);
    return ok(parsed) ? std::get<std::chrono::milliseconds>(parsed) : fallback;
}

process* find_process(run_state& it, const step& of)
{
    const auto kind = word(of, 0);
    if (kind == "server" && it.processes.servers.count({word(of, 1)}) > 0)
        return &it.processes.servers.at({word(of, 1)});
    if (kind == "host" && it.processes.hosts.count({word(of, 1)}) > 0)
        return &it.processes.hosts.at({word(of, 1)});
    if (kind == "platform")
        return &it.processes.platform;
    return nullptr;
}

failures signal_step(run_state& it, const step& of, int signal_number)
{
    auto* n = find_process(it, of);
    if (n == nullptr)
        return failure(of, "name a process: server NAME, host NAME, platform");
    if (!signal_process(*n, signal_number))
        return failure(of, "the process has ended");
    return {};
}

failures kill_step(run_state& it, const step& of)
{
    auto* n = find_process(it, of);
    if (n == nullptr)
        return failure(of, "name a process: server NAME, host NAME, platform");
    end_process(*n);
    return {};
}

// A host that fails leaves the host list after the platform has noticed.
failures remove_step(run_state& it, const step& of)
{
    return to_failures(
        of, set_host_state(it.processes, word(of, 1),
                           word(of, 0) == "server" ? "backend_server" : "host",
                           "absent"));
}

failures terminate_step(run_state& it, const step& of)
{
    auto found = signal_step(it, of, SIGTERM);
    if (!found.empty())
        return found;
    constexpr std::chrono::seconds drain_limit{40};
    const auto status = wait_for_exit(*find_process(it, of), drain_limit);
    if (!status)
        return failure(of, "the process did not end");
    if (*status != 0)
        return failure(of, "exit status " + std::to_string(*status));
    return {};
}

failures start_step(run_state& it, const step& of)
{
    const auto kind = word(of, 0);
    if (kind.empty())
        return to_failures(of, start_all(it.processes));
    if (kind == "server")
        return to_failures(of, start_server(it.processes, {word(of, 1)}));
    if (kind == "host")
        return to_failures(of, start_host(it.processes, {word(of, 1)}));
    return failure(of,
                   "start what? Write start, start server NAME or "
                   "start host NAME");
}

failures ready_step(run_state& it, const step& of)
{
    return to_failures(of, wait_until_ready(it.processes, {word(of, 0)}));
}

failures faults_step(run_state& it, const step& of)
{
    const bool platform = word(of, 0) == "platform";
    const auto faults = word(of, platform ? 1 : 2);
    if (platform)
        return to_failures(
            of, set_faults(it.processes.values.platform.address, faults));
    const auto n = it.processes.values.backend_servers.find({word(of, 1)});
    if (n == it.processes.values.backend_servers.end())
        return failure(of, "unknown backend server");
    return to_failures(of, set_faults(n->second.address, faults));
}

failures list_step(run_state& it, const step& of)
{
    return to_failures(
        of, set_host_state(it.processes, word(of, 1),
                           word(of, 0) == "server" ? "backend_server" : "host",
                           option(of, "state", "live")));
}

failures write_file_step(run_state& it, const step& of)
{
    const bool second = option(of, "operator") == "second";
    const auto folder =
        second ? second_folder(it.processes) : published_folder(it.processes);
    std::ofstream(folder + "/" + word(of, 0)) << word(of, 1) << '\n';
    return {};
}

// Gives a second operator a copy of the folder.
failures second_operator_step(run_state& it, const step&)
{
    std::filesystem::copy(published_folder(it.processes),
                          second_folder(it.processes));
    return {};
}

std::size_t count_rejected(run_state& it, const std::vector<std::string>& hosts)
{
    std::size_t n = 0;
    for (const auto& host : hosts)
    {
        const auto got = read_admin(it.processes, {host}, "settings");
        const auto reason = got.find("last_rejection");
        if (reason != got.end() && !reason->second.empty())
            ++n;
    }
    return n;
}

// Exactly one of the hosts tells its operator that another one was first.
failures one_rejected_step(run_state& it, const step& of)
{
    constexpr std::chrono::seconds limit{10};
    wait_until(limit, [&] { return count_rejected(it, of.words) > 0; });
    const auto n = count_rejected(it, of.words);
    if (n == 1)
        return {};
    return failure(of, std::to_string(n) + " hosts have a rejected change");
}

failures remove_file_step(run_state& it, const step& of)
{
    std::filesystem::remove(published_folder(it.processes) + "/" + word(of, 0));
    return {};
}

void print_answer(const run_state& it, const step& of, const answer_fields& n)
{
    if (!it.print)
        return;
    std::printf("%s\n", of.text.c_str());
    for (const auto* name : {"outcome", "rows", "server", "term", "position",
                             "elapsed_ms", "error", "message"})
        if (n.count(name) > 0)
            std::printf("    %s: %s\n", name, n.at(name).c_str());
}

failures compare(const step& of, const answer_fields& got)
{
    failures found;
    for (const auto& [name, value] : of.expected)
    {
        const auto n = got.find(name);
        const auto text = n == got.end() ? std::string("absent") : n->second;
        const bool negated = !value.empty() && value.front() == '!';
        const bool equal = text == (negated ? value.substr(1) : value);
        if (equal == negated)
            found.push_back(describe_mismatch(of, name, text, value));
    }
    if (!found.empty() && got.count("message") > 0)
        found.back() += "; " + got.at("message");
    return found;
}

failures request_step(run_state& it, const step& of)
{
    auto options = of.options;
    options.erase("within");
    const auto value = fill_values(it, options);
    auto& session = it.sessions[word(of, 0)];
    const auto got =
        send_request(it.processes, {option(of, "via")}, session, options);
    record_if_write(it, options, value, got, of.line);
    print_answer(it, of, got);
    return compare(of, got);
}

// Repeats the request until the expectations hold.
failures eventually_step(run_state& it, const step& of)
{
    failures last;
    const auto limit =
        duration_option(of, "within", std::chrono::milliseconds(11000));
    const bool print = it.print;
    it.print = false;
    wait_until(limit,
               [&]
               {
                   last = request_step(it, of);
                   return last.empty();
               });
    it.print = print;
    if (last.empty())
        return request_step(it, of);
    return last;
}

failures admin_step(run_state& it, const step& of)
{
    failures last;
    const auto limit =
        duration_option(of, "within", std::chrono::milliseconds(10000));
    wait_until(
        limit,
        [&]
        {
            last = compare(
                of, read_admin(it.processes, {option(of, "via")}, word(of, 0)));
            return last.empty();
        });
    return last;
}

failures verify_step(run_state& it, const step&)
{
    auto found = verify(it.writes, it.processes);
    if (it.print)
        std::printf("verify: %zu writes, %zu violations\n",
                    it.writes.writes.size(), found.size());
    return found;
}

failures wait_step(run_state&, const step& of)
{
    const auto time = parse_duration(word(of, 0));
    if (!ok(time))
        return failure(of, std::get<core::error>(time).message);
    wait_for(std::get<std::chrono::milliseconds>(time));
    return {};
}

// Prints what each host uses during a time.
failures measure_step(run_state& it, const step& of)
{
    const auto time = parse_duration(word(of, 0));
    if (!ok(time))
        return failure(of, std::get<core::error>(time).message);
    const auto length = std::get<std::chrono::milliseconds>(time);
    std::map<core::host_id, usage> before;
    for (const auto& n : it.processes.hosts)
        before[n.first] = read_usage(n.second);
    wait_for(length);
    for (const auto& n : it.processes.hosts)
    {
        const auto after = read_usage(n.second);
        const auto used = after.processor_time - before[n.first].processor_time;
        std::printf("%s %s: processor %.2f %% of a core, memory %.1f MB\n",
                    word(of, 1).c_str(), n.first.value.c_str(),
                    100.0 * static_cast<double>(used.count()) /
                        static_cast<double>(length.count()),
                    static_cast<double>(after.memory) / 1e6);
    }
    return {};
}

failures say_step(run_state& it, const step& of)
{
    if (it.print)
        std::printf("\n-- %s\n", word(of, 0).c_str());
    return {};
}

failures load_step(run_state& it, const step& of)
{
    start_load(it, of);
    return {};
}

failures join_step(run_state& it, const step& of)
{
    auto got = join_load(it, word(of, 0));
    if (it.print)
    {
        std::printf("%s\n", of.text.c_str());
        for (const auto& n : got)
            std::printf("    %s: %s\n", n.first.c_str(), n.second.c_str());
    }
    return compare_limits(of, got);
}

using step_function = failures (*)(run_state&, const step&);

const std::map<std::string, step_function>& step_functions()
{
    static const std::map<std::string, step_function> all{
        {"start", start_step},
        {"ready", ready_step},
        {"kill", kill_step},
        {"pause",
         [](run_state& it, const step& n)
         {
             return signal_step(it, n, SIGSTOP);
         }},
        {"resume",
         [](run_state& it, const step& n)
         {
             return signal_step(it, n, SIGCONT);
         }},
        {"terminate", terminate_step},
        {"remove", remove_step},
        {"list", list_step},
        {"faults", faults_step},
        {"write_file", write_file_step},
        {"second_operator", second_operator_step},
        {"one_rejected", one_rejected_step},
        {"remove_file", remove_file_step},
        {"request", request_step},
        {"eventually", eventually_step},
        {"admin", admin_step},
        {"verify", verify_step},
        {"wait", wait_step},
        {"measure", measure_step},
        {"say", say_step},
        {"load", load_step},
        {"join", join_step}};
    return all;
}

}  // namespace
}  // namespace detail

std::vector<std::string> execute(run_state& it, const step& what)
{
    const auto n = detail::step_functions().find(what.verb);
    if (n == detail::step_functions().end())
        return detail::failure(
            what, "\"" + what.verb + "\" is not a step; see README.md");
    return n->second(it, what);
}

}  // namespace scenario
