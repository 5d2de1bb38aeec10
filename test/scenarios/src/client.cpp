#include "client.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>

#include "http.hpp"

namespace scenario
{
namespace detail
{
namespace
{

namespace json = boost::json;

/// Beyond the deadline of a request.
constexpr std::chrono::milliseconds answer_grace{2000};
constexpr std::chrono::milliseconds default_deadline{30000};

bool is_number(const std::string& name)
{
    return name == "max_age_ms" || name == "deadline_ms";
}

json::object make_body(const session& of,
                       const std::map<std::string, std::string>& options)
{
    json::object body;
    for (const auto& [name, value] : options)
    {
        if (name == "via")
            continue;
        if (is_number(name))
            body[name] = std::strtoll(value.c_str(), nullptr, 10);
        else
            body[name] = value;
    }
    if (!of.token.empty())
        body["token"] = of.token;
    if (!of.transaction.empty() && !body.contains("transaction") &&
        body.at("access").as_string() != "begin")
        body["transaction"] = of.transaction;
    return body;
}

std::string to_text(const json::value& it)
{
    if (it.is_string())
        return std::string(it.as_string());
    if (!it.is_array())
        return json::serialize(it);
    std::string text;
    for (const auto& n : it.as_array())
        text += (text.empty() ? "" : ",") + to_text(n);
    return text;
}

std::chrono::milliseconds time_limit(
    const std::map<std::string, std::string>& options)
{
    const auto n = options.find("deadline_ms");
    if (n == options.end())
        return default_deadline + answer_grace;
    return std::chrono::milliseconds(
               std::strtoll(n->second.c_str(), nullptr, 10)) +
           answer_grace;
}

void update_session(session& of, const answer_fields& it,
                    const std::map<std::string, std::string>& options)
{
    const auto token = it.find("token");
    if (token != it.end() && !token->second.empty())
        of.token = token->second;
    const auto access = options.find("access");
    const auto transaction = it.find("transaction");
    if (access != options.end() && access->second == "begin" &&
        transaction != it.end())
        of.transaction = transaction->second;
    if (access != options.end() &&
        (access->second == "commit" || access->second == "rollback"))
        of.transaction.clear();
}

}  // namespace
}  // namespace detail

answer_fields send_request(const cluster& to, const core::host_id& via,
                           session& of,
                           const std::map<std::string, std::string>& options)
{
    const auto started = std::chrono::steady_clock::now();
    const auto body = detail::make_body(of, options);
    const auto got =
        call_json(caller_endpoint(to, via), "POST", "/v1/execute",
                  boost::json::serialize(body), detail::time_limit(options));
    answer_fields it;
    if (ok(got))
        for (const auto& n : std::get<boost::json::object>(got))
            it[std::string(n.key())] = detail::to_text(n.value());
    else
    {
        const bool sent =
            std::get<core::error>(got).kind != core::error_kind::no_connection;
        it["outcome"] = sent ? "unknown" : "not_run";
        it["error"] = "no_answer";
        it["message"] = std::get<core::error>(got).message;
    }
    const auto elapsed = std::chrono::steady_clock::now() - started;
    it["elapsed_ms"] = std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
    detail::update_session(of, it, options);
    return it;
}

told outcome_of(const answer_fields& it)
{
    const auto n = it.find("outcome");
    if (n != it.end() && n->second == "completed")
        return told::completed;
    if (n != it.end() && n->second == "not_run")
        return told::not_run;
    return told::unknown;
}

}  // namespace scenario
