#include "oracle.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <optional>

#include "http.hpp"

namespace scenario
{
namespace detail
{
namespace
{

namespace json = boost::json;

constexpr std::chrono::seconds call_limit{2};

struct member_log
{
    core::term_number term = 0;
    std::vector<std::string> changes;
};

std::optional<member_log> read_log(const core::endpoint& at)
{
    const auto dump = call_json(at, "GET", "/dump", "", call_limit);
    if (!ok(dump))
        return std::nullopt;
    const auto& n = std::get<json::object>(dump);
    const auto& status = n.at("status").as_object();
    if (status.at("role").as_string() != "primary")
        return std::nullopt;
    member_log it;
    it.term = status.at("term").to_number<core::term_number>();
    for (const auto& entry : n.at("log").as_array())
        for (const auto& change : entry.at("changes").as_array())
            it.changes.emplace_back(change.as_string());
    return it;
}

std::optional<member_log> newest_log(const cluster& of,
                                     const core::group_id& group)
{
    std::optional<member_log> newest;
    for (const auto& n : of.values.groups.at(group).members)
    {
        auto it = read_log(of.values.backend_servers.at(n).address);
        if (it && (!newest || it->term > newest->term))
            newest = std::move(it);
    }
    return newest;
}

std::size_t count_value(const member_log& in, const std::string& value)
{
    std::size_t n = 0;
    const auto ending = " " + value;
    for (const auto& it : in.changes)
        if (it.size() >= ending.size() &&
            it.compare(it.size() - ending.size(), ending.size(), ending) == 0)
            ++n;
    return n;
}

std::string describe(const write_record& it, const std::string& problem)
{
    return "line " + std::to_string(it.line) + ": write of " + it.value +
           " in " + it.group.value + " " + problem;
}

std::optional<std::string> check(const write_record& it, const member_log& in)
{
    const auto n = count_value(in, it.value);
    if (it.outcome == told::completed && n == 0)
        return describe(it, "was acknowledged and is lost");
    if (it.outcome == told::not_run && n > 0)
        return describe(it, "was reported as not run and is in the log");
    if (n > 1)
        return describe(it, "is in the log more than once");
    return std::nullopt;
}

}  // namespace
}  // namespace detail

void record_write(oracle& to, const write_record& it)
{
    std::lock_guard lock(to.mutex);
    to.writes.push_back(it);
}

std::vector<std::string> verify(oracle& it, const cluster& of)
{
    std::vector<std::string> violations;
    std::lock_guard lock(it.mutex);
    for (const auto& group : of.values.groups)
    {
        const auto log = detail::newest_log(of, group.first);
        if (!log)
        {
            violations.push_back("group " + group.first.value +
                                 " has no primary that answers");
            continue;
        }
        for (const auto& n : it.writes)
            if (n.group == group.first)
                if (auto problem = detail::check(n, *log))
                    violations.push_back(*problem);
    }
    return violations;
}

}  // namespace scenario
