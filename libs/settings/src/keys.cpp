#include "godwitbarrow/settings/keys.hpp"

#include <algorithm>

#include "godwitbarrow/settings/units.hpp"

namespace godwitbarrow::settings
{
namespace detail
{
namespace
{

constexpr auto live = change_effect::while_running;
constexpr auto restart = change_effect::at_restart;
constexpr double hour = 3600000;
constexpr double mib = 1024.0 * 1024.0;

constexpr std::string_view peer_port_change =
    "The host listens on the new port after a restart; other hosts use it at "
    "once, so drain the host first.";

// Columns: section, key, type, required, default, minimum, maximum, choices,
// effect, description of a change.
const std::vector<key_info> table{
    {"platform", "address", value_type::endpoint, true, "", 0, 0, "", restart,
     "A process uses the address in its flag --platform; restart it with the "
     "new one."},
    {"platform", "timeout", value_type::duration, false, "2s", 100, 60000, "",
     restart, "Not used by this version, whose calls have a deadline of 3 s."},

    {"data_centre", "region", value_type::name, true, "", 0, 0, "", live,
     "Server owners and the order of replicas are computed again."},
    {"latency", "", value_type::short_duration, false, "", 0, 10000000, "",
     live, "The order in which replicas are tried is computed again."},

    {"host", "address", value_type::ip_address, true, "", 0, 0, "", restart,
     "The host listens on the new address after a restart; other hosts use it "
     "at once, so drain the host first."},
    {"host", "caller_port", value_type::port, true, "", 1, 65535, "", restart,
     "The host listens on the new port after a restart."},
    {"host", "peer_port", value_type::port, true, "", 1, 65535, "", restart,
     peer_port_change},
    {"host", "admin_port", value_type::port, true, "", 1, 65535, "", restart,
     "The host listens on the new port after a restart."},
    {"host", "admin_address", value_type::ip_address, false, "127.0.0.1", 0, 0,
     "", restart,
     "The admin port listens on the new address after a restart. The burn "
     "report and the scraper need an address that they can reach."},
    {"host", "data_centre", value_type::name, true, "", 0, 0, "", live,
     "Server owners are computed again; backend servers may change owner."},

    {"group", "description", value_type::text, false, "", 0, 0, "", live,
     "Shown in reports only."},

    {"backend_server", "group", value_type::name, true, "", 0, 0, "", live,
     "Requests and promotions use the new members; see operations."},
    {"backend_server", "address", value_type::endpoint, true, "", 0, 0, "",
     live,
     "New connections go to the new address; old ones finish their work."},
    {"backend_server", "data_centre", value_type::name, true, "", 0, 0, "",
     live,
     "The owner of the server and the order of replicas are computed "
     "again."},
    {"backend_server", "slots", value_type::count, true, "", 1, 10000, "", live,
     "The next dispatches keep to the new number; running statements finish."},
    {"backend_server", "connections", value_type::count, true, "", 4, 100000,
     "", live,
     "The owner opens connections up to the new number, or closes idle ones "
     "above it."},

    {"kind", "rank", value_type::choice, true, "", 0, 0,
     "urgent|interactive|deferred", live,
     "Requests that arrive after the change get the new rank."},
    {"kind", "worth", value_type::number, false, "1", 0, 1000000, "", live,
     "Requests that complete after the change count with the new worth in "
     "reports."},

    {"rank", "minimum_share", value_type::percent, false, "0%", 0, 100, "",
     live, "The next dispatches keep to the new share."},
    {"rank", "reserved_slots", value_type::count, false, "0", 0, 10000, "",
     live, "The next dispatches keep to the new reservation."},
    {"rank", "objective", value_type::percent, false, "99%", 1, 99.9999, "",
     live, "The burn report uses the new objective for its whole period."},
    {"rank", "latency_objective", value_type::duration, false, "1s", 1, hour,
     "", live,
     "The burn report uses it at once; a request counts as good up to the next "
     "lower bound of the latency histogram."},
    {"rank", "deadline", value_type::duration, false, "5s", 1, hour, "", live,
     "Requests that arrive after the change and name no deadline get it."},

    {"limits", "body", value_type::size, false, "64KiB", 1024, 16 * mib, "",
     restart, "Requests to the restarted process are held to it."},
    {"limits", "header", value_type::size, false, "8KiB", 1024, mib, "",
     restart, "Requests to the restarted process are held to it."},
    {"limits", "open_connections", value_type::count, false, "10000", 1,
     1000000, "", restart,
     "The restarted process refuses connections above the limit."},
    {"limits", "request_read_time", value_type::duration, false, "5s", 100,
     600000, "", restart, "Requests to the restarted process are held to it."},
    {"limits", "drain_limit", value_type::duration, false, "30s", 0, hour, "",
     live, "Shutdowns that start after the change use it."},
    {"limits", "transaction_idle_limit", value_type::duration, false, "10s",
     100, hour, "", live, "Open transactions are held to it at once."},
    {"limits", "idle_age", value_type::duration, false, "60s", 1000, hour, "",
     live, "Idle connections are held to it at once."},
    {"limits", "probe_after", value_type::duration, false, "5s", 100, hour, "",
     live, "Idle connections are held to it at once."},
    {"limits", "retry_ratio", value_type::percent, false, "10%", 0, 100, "",
     live, "The retry budget of each group grows at the new rate."},
    {"limits", "queue_policy", value_type::choice, false, "ranked", 0, 0,
     "ranked|first_come_first_served", live,
     "The next dispatches follow the new policy; queued requests stay."},
    {"limits", "read_policy", value_type::choice, false, "replicas", 0, 0,
     "replicas|primary_only", live,
     "Reads that arrive after the change follow the new policy."},

    {"team", "kinds", value_type::names, true, "", 0, 0, "", live,
     "Requests that arrive after the change count towards the new team."},
    {"team", "limit", value_type::count, true, "", 1, 1000000, "", live,
     "Requests above the new limit are answered \"not run\"; those in flight "
     "finish."},
};

std::string limits_text(const key_info& info,
                        std::string (*format)(double value))
{
    return format(info.minimum) + " to " + format(info.maximum);
}

std::string duration_limit(double value)
{
    return format_duration(
        std::chrono::milliseconds(static_cast<std::int64_t>(value)));
}

std::string short_duration_limit(double value)
{
    return format_short_duration(
        std::chrono::microseconds(static_cast<std::int64_t>(value)));
}

std::string size_limit(double value)
{
    return format_size(static_cast<std::uint64_t>(value));
}

std::string percent_limit(double value)
{
    return format_number(value) + "%";
}

std::string name_range()
{
    return "letters, digits, `_` and `-`, at most " +
           std::to_string(max_name_length) + " characters";
}

std::string choice_range(std::string_view choices)
{
    std::string text = "`";
    for (const char c : choices)
        text += c == '|' ? std::string("` or `") : std::string(1, c);
    return text + "`";
}

std::string inline_code(const std::string& text)
{
    return text.empty() ? "" : "`" + text + "`";
}

std::string default_column(const key_info& info)
{
    if (info.required)
        return "required";
    return info.default_text.empty()
               ? "none"
               : inline_code(std::string(info.default_text));
}

}  // namespace
}  // namespace detail

const std::vector<key_info>& all_keys()
{
    return detail::table;
}

const key_info* find_key(std::string_view section, std::string_view key)
{
    for (const auto& info : detail::table)
        if (info.section == section && (info.key == key || info.key.empty()))
            return &info;
    return nullptr;
}

bool is_section(std::string_view section)
{
    return std::any_of(detail::table.begin(), detail::table.end(),
                       [&](const key_info& info)
                       { return info.section == section; });
}

bool is_named_section(std::string_view section)
{
    return is_section(section) && section != "platform" && section != "limits";
}

std::string unit_text(const key_info& info)
{
    switch (info.type)
    {
        case value_type::duration:
            return "ms, s, min or h";
        case value_type::short_duration:
            return "us, ms or s";
        case value_type::size:
            return "B, KiB or MiB";
        case value_type::percent:
            return "%";
        default:
            return "none";
    }
}

std::string range_text(const key_info& info)
{
    switch (info.type)
    {
        case value_type::text:
            return "any text";
        case value_type::name:
            return detail::name_range();
        case value_type::names:
            return "names separated by commas";
        case value_type::ip_address:
            return "an IPv4 or IPv6 address";
        case value_type::endpoint:
            return "`IP:PORT`";
        case value_type::choice:
            return detail::choice_range(info.choices);
        case value_type::duration:
            return detail::limits_text(info, detail::duration_limit);
        case value_type::short_duration:
            return detail::limits_text(info, detail::short_duration_limit);
        case value_type::size:
            return detail::limits_text(info, detail::size_limit);
        case value_type::percent:
            return detail::limits_text(info, detail::percent_limit);
        case value_type::port:
        case value_type::count:
        case value_type::number:
            break;
    }
    return detail::limits_text(info, format_number);
}

std::string documentation_row(const key_info& info)
{
    const std::string key = info.key.empty()
                                ? "NAME of another data centre"
                                : detail::inline_code(std::string(info.key));
    const bool running = info.effect == change_effect::while_running;
    return "| " + key + " | " + unit_text(info) + " | " +
           detail::default_column(info) + " | " + range_text(info) + " | " +
           (running ? "while running" : "at restart") + " | " +
           std::string(info.change) + " |";
}

}  // namespace godwitbarrow::settings
