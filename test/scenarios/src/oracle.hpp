#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "cluster.hpp"

/// Compares what callers were told with the logs of the backend servers.
namespace scenario
{

enum class told
{
    completed,
    not_run,
    unknown
};

/// A write whose value is unique in the run.
struct write_record
{
    core::group_id group;
    std::string value;
    told outcome = told::unknown;
    int line = 0;
};

struct oracle
{
    std::mutex mutex;
    std::vector<write_record> writes;
};

void record_write(oracle& to, const write_record& it);

/// Checks at the member with the highest term of each group: a completed write
/// is in the log once, a write that was not run is not in it, any other one at
/// most once. Returns the violations.
std::vector<std::string> verify(oracle& it, const cluster& of);

}  // namespace scenario
