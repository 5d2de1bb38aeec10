#pragma once

#include <map>
#include <string>

#include "execute.hpp"

/// Requests of the steps, single ones and many at a time.
namespace scenario
{

/// Replaces {n} in the options by a number that is unique in the run; returns
/// the unique value, or an empty text without {n}.
std::string fill_values(run_state& it,
                        std::map<std::string, std::string>& options);

/// Hands a write with a unique value to the oracle.
void record_if_write(run_state& it,
                     const std::map<std::string, std::string>& options,
                     const std::string& value, const answer_fields& got,
                     int line);

/// Sends the request of the step over and over from several threads, each a
/// session of its own, through the hosts of `via` in turn, until `join`.
void start_load(run_state& it, const step& of);

/// Stops the load; returns completed, not_run, unknown and longest_gap_ms.
answer_fields join_load(run_state& it, const std::string& name);

/// Compares numbers: `at_least_NAME=N` and `at_most_NAME=N`.
std::vector<std::string> compare_limits(const step& of,
                                        const answer_fields& got);

/// The top-level fields of an admin answer as text.
answer_fields read_admin(const cluster& of, const core::host_id& host,
                         const std::string& name);

}  // namespace scenario
