#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "godwitbarrow/core/error.hpp"

/// Child processes of the scenario runner. All of them are ended, by id, when
/// the runner exits.
namespace scenario
{

namespace core = godwitbarrow::core;

struct process
{
    pid_t id = 0;
    /// File that receives standard output and standard error.
    std::string log_path;
};

core::result<process> start_process(const std::vector<std::string>& command,
                                    const std::string& log_path);

/// Sends a signal; returns false if the process has ended.
bool signal_process(const process& it, int signal_number);

/// Waits for the end of the process and returns its exit status, or nothing
/// after `timeout`.
std::optional<int> wait_for_exit(process& it,
                                 std::chrono::milliseconds timeout);

/// Ends the process at once and waits for it.
void end_process(process& it);

/// Lines of log files in the folder that report a fault of a sanitizer or an
/// exception that ended the process.
std::vector<std::string> find_fault_reports(const std::string& folder);

}  // namespace scenario
