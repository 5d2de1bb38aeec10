#include "host_settings.hpp"

#include <ini.h>

#include <fstream>
#include <map>
#include <sstream>

#include "godwitbarrow/settings/units.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

using values = std::map<std::string, std::string>;

int keep_value(void* to, const char* section, const char* key,
               const char* value)
{
    (*static_cast<values*>(to))[std::string(section) + '.' + key] = value;
    return 1;
}

core::error invalid(const std::string& key, const std::string& remedy)
{
    return {core::error_kind::invalid_settings, key + ": " + remedy};
}

/// Collects the first error, so that the parse reads as a list of keys.
struct reader
{
    const values& from;
    std::optional<core::error> first_error;

    std::string text(const std::string& key)
    {
        const auto it = from.find(key);
        if (it != from.end() && !it->second.empty())
            return it->second;
        note(invalid(key, "the key is missing; add it"));
        return {};
    }

    core::endpoint endpoint(const std::string& key)
    {
        const auto it = text(key);
        if (it.empty())
            return {};
        auto parsed = core::parse_endpoint(it);
        if (ok(parsed))
            return std::get<core::endpoint>(parsed);
        note(invalid(key, std::get<core::error>(parsed).message));
        return {};
    }

    std::chrono::milliseconds time(const std::string& key)
    {
        const auto it = settings::parse_duration(text(key));
        if (it)
            return *it;
        note(invalid(key, "write a time with its unit, for example 5s"));
        return {};
    }

    /// Returns `absent` if the key is missing.
    std::chrono::milliseconds time(const std::string& key,
                                   std::chrono::milliseconds absent)
    {
        return has(key) ? time(key) : absent;
    }

    std::size_t count(const std::string& key)
    {
        const auto it = settings::parse_count(text(key));
        if (it && *it > 0 && *it <= 64)
            return *it;
        note(invalid(key, "write a number from 1 to 64"));
        return 1;
    }

    /// Returns `absent` if the key is missing.
    bool flag(const std::string& key, bool absent)
    {
        if (!has(key))
            return absent;
        const auto it = text(key);
        if (it != "true" && it != "false")
            note(invalid(key, "write true or false"));
        return it == "true";
    }

    /// Returns `absent` if the key is missing.
    double number(const std::string& key, double absent)
    {
        if (!has(key))
            return absent;
        const auto it = settings::parse_number(text(key));
        if (it && *it >= 0)
            return *it;
        note(invalid(key, "write a number that is not negative"));
        return absent;
    }

    /// Returns `absent` if the key is missing.
    std::uint64_t size(const std::string& key, std::uint64_t absent)
    {
        if (!has(key))
            return absent;
        const auto it = settings::parse_size(text(key));
        if (it)
            return *it;
        note(invalid(key, "write a size with its unit, for example 64MiB"));
        return absent;
    }

    /// A placeholder that the platform has not filled in counts as missing.
    bool has(const std::string& key) const
    {
        const auto it = from.find(key);
        return it != from.end() && !it->second.empty() &&
               it->second.find("{{") == std::string::npos;
    }

    void note(core::error it)
    {
        if (!first_error)
            first_error = std::move(it);
    }
};

}  // namespace
}  // namespace detail

core::result<host_settings> parse_host_settings(const std::string& text)
{
    detail::values found;
    const int line = ini_parse_string(text.c_str(), detail::keep_value, &found);
    if (line != 0)
        return detail::invalid("line " + std::to_string(line),
                               "write key = value below a [section]");
    detail::reader from{found, {}};
    host_settings it;
    it.name = {from.text("host.name")};
    it.data_centre = {from.text("host.data_centre")};
    it.region = {from.has("host.region") ? from.text("host.region")
                                         : it.data_centre.value};
    it.core_share = from.number("host.core_share", it.core_share);
    it.workers = from.count("host.workers");
    it.callers = from.endpoint("listen.callers");
    it.readiness = from.endpoint("listen.readiness");
    it.readiness_path = from.text("listen.readiness_path");
    if (from.has("listen.metrics"))
        it.metrics = from.endpoint("listen.metrics");
    if (from.has("listen.peers"))
        it.peers = from.endpoint("listen.peers");
    it.store = from.endpoint("store.address");
    it.promotions = from.endpoint("promotions.address");
    it.fencing = from.flag("promotions.fencing", it.fencing);
    it.grace = from.time("shutdown.grace");
    it.leaving_limit = from.time("members.leaving_limit");
    it.memory = from.size("limits.memory", it.memory);
    it.descriptors =
        static_cast<std::uint64_t>(from.number("limits.descriptors", 0));
    it.caller_startup_time =
        from.time("callers.startup_time", it.caller_startup_time);
    it.caller_message_time =
        from.time("callers.message_time", it.caller_message_time);
    it.caller_answer_time =
        from.time("callers.answer_time", it.caller_answer_time);
    it.quota_window = from.time("workspaces.quota_window", it.quota_window);
    it.quota_excess = from.number("workspaces.quota_excess", it.quota_excess);
    it.quota_slack =
        static_cast<std::uint64_t>(from.number("workspaces.quota_slack", 0));
    if (from.first_error)
        return *from.first_error;
    return it;
}

core::result<host_settings> read_host_settings(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
        return detail::invalid(path, "the file cannot be read; check the path");
    return parse_host_settings(text.str());
}

}  // namespace godwitbarrow::proxy::pooled
