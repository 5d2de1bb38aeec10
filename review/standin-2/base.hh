#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// Sockets, processes and the record, shared by the stand-ins and the cases.
namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the start of the case.
std::int64_t now_ms();

void pause_for(milliseconds duration);

/// Writes lines with times to a file. Any thread may call it.
class record
{
public:
    explicit record(const std::string& path);
    void add(const std::string& line);

private:
    std::mutex mutex_;
    std::string path_;
};

/// Listens on 127.0.0.1 at a free port.
struct listener
{
    int socket = -1;
    std::uint16_t port = 0;
};
listener listen_anywhere();

/// Connects to a port of a host; -1 on failure.
int connect_to_host(std::uint16_t port);

bool send_all(int socket, const std::string& bytes);

/// Reads from a socket line by line or by count.
struct reader
{
    int socket = -1;
    std::string buffer;

    /// One line without its CR LF; nothing at the end of the stream.
    std::optional<std::string> line();
    std::optional<std::string> bytes(std::size_t count);
};

std::vector<std::string> split(const std::string& text);

/// A caller with one session.
struct caller
{
    int socket = -1;
    reader in;

    ~caller();
    /// Whether the session was accepted; `refusal` holds the error otherwise.
    bool start(std::uint16_t port, const std::string& database);
    /// The whole answer, its lines joined by " | "; nothing if the connection
    /// ended before.
    std::optional<std::string> query(const std::string& id,
                                     const std::string& text);
    std::optional<std::string> answer();
    void close();

    std::string refusal;
    /// Where statements and answers are written, if anywhere.
    record* log = nullptr;
};

/// A process of the program under review.
struct host
{
    std::string name;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    int pid = -1;
};

/// Fills in the template of the deploy file for one host.
struct host_options
{
    std::string program;
    std::string settings_template;
    std::string folder;
    std::uint16_t platform = 0;
    std::string cores = "1";
};
host start_host(const host_options& options, const std::string& name);
bool is_ready(const host& it);
void signal_host(const host& it, int number);
/// Whether the process has ended; `status` is as of wait(2).
bool has_ended(host& it, int* status = nullptr);
/// Kills the process and waits for it.
void end_host(host& it);
}  // namespace review
