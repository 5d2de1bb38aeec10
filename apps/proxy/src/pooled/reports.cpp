#include "reports.hpp"

#include "godwitbarrow/telemetry/log.hpp"

namespace godwitbarrow::proxy::pooled
{

void report(app&, const pooler::decision_note& what)
{
    const auto level = telemetry::log_level::info;
    if (what.about_request)
        return telemetry::log_event(level, "request not served",
                                    {{"request", what.request},
                                     {"outcome", what.what},
                                     {"group", what.group},
                                     {"reason", what.detail}});
    telemetry::log_event(level, what.what,
                         {{"group", what.group},
                          {"server", what.server},
                          {"detail", what.detail}});
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
    telemetry::count_request(*it.metrics, what.importance, result, what.took);
}

}  // namespace godwitbarrow::proxy::pooled
