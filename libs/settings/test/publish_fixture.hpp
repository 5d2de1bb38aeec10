#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "godwitbarrow/settings/publish.hpp"

/// An in-memory store and hosts that publish to it.
namespace godwitbarrow::settings::test
{

/// Outcome of one call to the store.
enum class call_outcome
{
    answered,
    /// The call takes effect, but the caller sees a failure.
    answer_lost,
    /// The call has no effect, and the caller sees a failure.
    refused,
    /// The caller sees a failure, but a row write takes effect later.
    delayed
};

struct store
{
    versioned_row current;
    std::map<std::string, file_set> objects;
    std::vector<write_row> delayed;
    /// Digests by generation, recorded at each row write.
    std::map<generation_number, std::string> history;
};

struct publisher
{
    publish_state state;
    std::deque<action> calls;
    /// All actions that are not calls to the store.
    std::vector<action> reports;
};

inline const core::error unavailable{core::error_kind::store_unavailable,
                                     "the store is down; wait"};

/// A valid folder whose contents depend on the number.
inline file_set folder(int number)
{
    std::string text =
        "[platform]\naddress = 127.0.0.1:1\n[data_centre.a]\nregion = a\n"
        "[host.h]\naddress = 127.0.0.1\ncaller_port = 2\npeer_port = 3\n"
        "admin_port = 4\ndata_centre = a\n[group.g]\n[kind.k]\nrank = urgent\n";
    for (const auto* name : {"5", "6", "7"})
        text += std::string("[backend_server.s") + name +
                "]\ngroup = g\ndata_centre = a\nslots = 1\nconnections = 4\n"
                "address = 127.0.0.1:" +
                name + "\n";
    return {{"a.ini", text},
            {"b.ini", "[limits]\nopen_connections = " +
                          std::to_string(number + 1) + "\n"}};
}

inline bool write_to(store& to, const write_row& call)
{
    if (to.current.version != call.expected_version)
        return false;
    to.current = {call.row, to.current.version + 1};
    to.history[call.row.generation] = current_digest(call.row);
    return true;
}

inline void apply_delayed(store& to)
{
    for (const auto& call : to.delayed)
        write_to(to, call);
    to.delayed.clear();
}

inline event answer(store& to, const put_object& call, call_outcome outcome)
{
    if (outcome == call_outcome::answered ||
        outcome == call_outcome::answer_lost)
        to.objects[call.digest] = *call.files;
    if (outcome != call_outcome::answered)
        return object_put{unavailable};
    return object_put{};
}

inline event answer(store& to, const get_object& call, call_outcome outcome)
{
    if (outcome != call_outcome::answered)
        return object_read{call.digest, unavailable};
    return object_read{call.digest, to.objects.at(call.digest)};
}

inline event answer(store& to, const read_row&, call_outcome outcome)
{
    if (outcome != call_outcome::answered)
        return row_read{unavailable};
    return row_read{to.current};
}

inline event answer(store& to, const write_row& call, call_outcome outcome)
{
    if (outcome == call_outcome::delayed)
        to.delayed.push_back(call);
    if (outcome == call_outcome::delayed || outcome == call_outcome::refused)
        return row_written{unavailable};
    const bool written = write_to(to, call);
    if (outcome == call_outcome::answer_lost)
        return row_written{unavailable};
    if (!written)
        return row_written{core::error{core::error_kind::conflict, "version"}};
    return row_written{to.current.version};
}

template <class Action>
constexpr bool is_call =
    std::is_same_v<Action, put_object> || std::is_same_v<Action, get_object> ||
    std::is_same_v<Action, read_row> || std::is_same_v<Action, write_row>;

inline void handle_event(publisher& to, const event& received,
                         core::time_point now)
{
    for (auto& a : decide(to.state, received, now))
        std::visit(
            [&](auto& x)
            {
                if (is_call<std::decay_t<decltype(x)>>)
                    to.calls.push_back(a);
                else
                    to.reports.push_back(a);
            },
            a);
}

/// Executes the oldest pending call and handles its result.
inline void perform(publisher& from, store& to, call_outcome outcome,
                    core::time_point now)
{
    const auto call = from.calls.front();
    from.calls.pop_front();
    std::visit(
        [&](const auto& operation)
        {
            if constexpr (is_call<std::decay_t<decltype(operation)>>)
                handle_event(from, answer(to, operation, outcome), now);
        },
        call);
}

inline publisher make_publisher(const std::string& name)
{
    publisher host;
    host.state.self.value = name;
    host.state.incarnation = "1";
    return host;
}

template <class Report>
std::vector<Report> all_reports(const publisher& host)
{
    std::vector<Report> found;
    for (const auto& a : host.reports)
        if (const auto* r = std::get_if<Report>(&a))
            found.push_back(*r);
    return found;
}

/// Hosts a and b with one store. Calls succeed immediately unless another
/// outcome is given.
struct fleet
{
    store platform;
    core::time_point now{std::chrono::hours(1)};
    publisher a = make_publisher("a");
    publisher b = make_publisher("b");

    void run(publisher& host, call_outcome outcome = call_outcome::answered)
    {
        while (!host.calls.empty())
            perform(host, platform, outcome, now);
    }

    /// Scans the folder twice, so that its contents are evaluated.
    void scan(publisher& host, const file_set& files)
    {
        handle_event(host, folder_scanned{files}, now);
        handle_event(host, folder_scanned{files}, now);
    }

    void save(publisher& host, const file_set& files)
    {
        scan(host, files);
        run(host);
    }

    void wait_and_run(publisher& host,
                      call_outcome outcome = call_outcome::answered)
    {
        now += std::chrono::seconds(10);
        handle_event(host, tick{}, now);
        run(host, outcome);
    }

    generation_number generation() const
    {
        return platform.current.row.generation;
    }

    publisher restart(const publisher& host) const
    {
        return make_publisher(host.state.self.value);
    }
};

inline std::vector<generation_number> applied(const publisher& host)
{
    std::vector<generation_number> numbers;
    for (const auto& x : all_reports<apply>(host))
        numbers.push_back(x.generation);
    return numbers;
}

}  // namespace godwitbarrow::settings::test
