#include "godwitbarrow/settings/publish.hpp"

namespace godwitbarrow::settings
{

std::string to_string(const problem& value)
{
    if (value.file.empty())
        return value.message;
    return value.file + ":" + std::to_string(value.line) + ": " + value.message;
}

std::string to_string(const report_conflict& conflict)
{
    auto current = "generation " + std::to_string(conflict.generation) +
                   ", published by host " + conflict.publisher.value;
    switch (conflict.cause)
    {
        case conflict_cause::lost_race:
            return current +
                   ", is newer than the generation this folder is based on; "
                   "merge it into the folder and save again";
        case conflict_cause::stale_folder:
            return "the folder equals an older generation than " + current +
                   "; it is not published; copy the newer files into it, or "
                   "change a file to publish it anyway";
        case conflict_cause::age_unknown:
            return "the folder differs from " + current +
                   ", and may be older; it is not published; compare the two, "
                   "then change a file to publish it";
    }
    return current;
}

}  // namespace godwitbarrow::settings
