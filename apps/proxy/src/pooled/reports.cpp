#include "reports.hpp"

#include "godwitbarrow/telemetry/log.hpp"

namespace godwitbarrow::proxy::pooled
{

namespace detail
{
namespace
{

std::string age_text(const std::optional<std::chrono::milliseconds>& it)
{
    return it ? std::to_string(it->count()) + "ms" : "unknown";
}

}  // namespace
}  // namespace detail

void report(app& it, const pooler::decision_note& what)
{
    const auto level = telemetry::log_level::info;
    if (!what.about_request)
        return telemetry::log_event(level, what.message,
                                    {{"group", what.group},
                                     {"server", what.server},
                                     {"detail", what.detail}});
    if (!may_log_request(it.requests))
        return;
    telemetry::log_event(
        level, "request not served",
        {{"request", what.request},
         {"outcome", what.message},
         {"group", what.group},
         {"reason", what.detail},
         {"held", what.held},
         {"attempts", what.attempts},
         {"primary", what.server},
         {"position_age", detail::age_text(what.position_age)}});
}

void report(app& it, const pooler::statement_ended& what)
{
    using telemetry::request_result;
    const auto result = what.succeeded ? request_result::completed
                        : what.reason == "in_doubt" ||
                                what.reason == "timed_out" ||
                                what.reason == "failed"
                            ? request_result::unknown
                            : request_result::not_run;
    if (!what.succeeded)
        telemetry::count_refusal(*it.metrics, what.reason);
    telemetry::count_request(*it.metrics, what.importance, result, what.took);
}

}  // namespace godwitbarrow::proxy::pooled
