#include "godwitbarrow/settings/publish.hpp"

namespace godwitbarrow::settings
{

std::string to_string(const problem& it)
{
    if (it.file.empty())
        return it.message;
    return it.file + ":" + std::to_string(it.line) + ": " + it.message;
}

std::string to_string(const report_conflict& it)
{
    auto winner = "generation " + std::to_string(it.generation) +
                  ", published by host " + it.publisher.value;
    switch (it.cause)
    {
        case conflict_cause::lost_race:
            return winner +
                   ", is newer than what this folder was made from; merge it "
                   "into the folder and save again";
        case conflict_cause::stale_folder:
            return "the folder equals an older generation than " + winner +
                   "; it is not published; copy the newer files into it, or "
                   "change a file to publish it all the same";
        case conflict_cause::age_unknown:
            return "the folder differs from " + winner +
                   ", and may be older; it is not published; compare the two, "
                   "then change a file to publish it";
    }
    return winner;
}

}  // namespace godwitbarrow::settings
