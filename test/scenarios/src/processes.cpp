#include "processes.hpp"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>

// The environment of the runner; POSIX leaves its declaration to the program.
extern char** environ;  // NOLINT(readability-redundant-declaration)

namespace scenario
{
namespace detail
{
namespace
{

std::vector<char*> argument_pointers(std::vector<std::string>& command)
{
    std::vector<char*> it;
    it.reserve(command.size() + 1);
    for (auto& n : command)
        it.push_back(n.data());
    it.push_back(nullptr);
    return it;
}

}  // namespace
}  // namespace detail

core::result<process> start_process(const std::vector<std::string>& command,
                                    const std::string& log_path)
{
    auto copy = command;
    auto arguments = detail::argument_pointers(copy);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // An inherited socket would keep a connection open that the runner closed.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    process it;
    it.log_path = log_path;
    const int rc = posix_spawn(&it.id, arguments[0], &files, nullptr,
                               arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (rc != 0)
        return core::error{core::error_kind::internal,
                           command[0] + ": " + std::strerror(rc) +
                               "; build the project first"};
    return it;
}

bool signal_process(const process& it, int signal_number)
{
    return it.id > 0 && kill(it.id, signal_number) == 0;
}

std::optional<int> wait_for_exit(process& it, std::chrono::milliseconds timeout)
{
    if (it.id <= 0)
        return std::nullopt;
    const int fd = static_cast<int>(syscall(SYS_pidfd_open, it.id, 0));
    pollfd waited{fd, POLLIN, 0};
    const int ready =
        fd < 0 ? 1 : poll(&waited, 1, static_cast<int>(timeout.count()));
    if (fd >= 0)
        close(fd);
    if (ready <= 0)
        return std::nullopt;
    int state = 0;
    waitpid(it.id, &state, 0);
    it.id = 0;
    return WIFEXITED(state) ? WEXITSTATUS(state) : 128 + WTERMSIG(state);
}

void end_process(process& it)
{
    if (it.id <= 0)
        return;
    signal_process(it, SIGKILL);
    waitpid(it.id, nullptr, 0);
    it.id = 0;
}

std::vector<std::string> find_fault_reports(const std::string& folder)
{
    std::vector<std::string> found;
    for (const auto& n : std::filesystem::directory_iterator(folder))
    {
        std::ifstream in(n.path());
        for (std::string line; std::getline(in, line);)
            if (line.find("Sanitizer: ") != std::string::npos ||
                line.rfind("terminate called", 0) == 0)
                found.push_back(n.path().string() + ": " + line);
    }
    return found;
}

}  // namespace scenario
