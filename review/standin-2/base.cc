#include "base.hh"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace review
{
namespace
{

const auto started = clock::now();

/// Several times the memory of a machine.
constexpr rlim_t address_space_bytes = rlim_t{2} << 30;

sockaddr_in endpoint(const std::string& address, std::uint16_t port)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &it.sin_addr);
    return it;
}

const std::string standin_address = "127.0.0.1";

/// The hosts of a run have a loopback address of their own, so that no other
/// connection of the machine takes their ports.
std::string host_address()
{
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + id / 250 % 250) + '.' +
           std::to_string(1 + id % 250) + ".2";
}

std::uint16_t next_host_port()
{
    static std::uint16_t last = 21000;
    return ++last;
}

std::string fill_in(std::string text, const std::string& key,
                    const std::string& value)
{
    const auto placeholder = "{{" + key + "}}";
    for (auto at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder))
        text.replace(at, placeholder.size(), value);
    return text;
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

}  // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - started)
        .count();
}

void pause_for(milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

record::record(const std::string& path) : path_(path)
{
    std::ofstream(path_, std::ios::trunc);
}

void record::add(const std::string& line)
{
    std::lock_guard lock(mutex_);
    std::ofstream(path_, std::ios::app) << now_ms() << " ms  " << line << '\n';
}

listener listen_anywhere()
{
    listener it;
    it.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = endpoint(standin_address, 0);
    bind(it.socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(it.socket, 1024);
    socklen_t size = sizeof address;
    getsockname(it.socket, reinterpret_cast<sockaddr*>(&address), &size);
    it.port = ntohs(address.sin_port);
    return it;
}

int connect_to_host(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = endpoint(host_address(), port);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0)
    {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

bool send_all(int socket, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto n = ::send(socket, bytes.data() + sent, bytes.size() - sent,
                              MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

std::optional<std::string> reader::line()
{
    while (true)
    {
        const auto end = buffer.find("\r\n");
        if (end != std::string::npos)
        {
            auto out = buffer.substr(0, end);
            buffer.erase(0, end + 2);
            return out;
        }
        char part[16384];
        const auto n = recv(socket, part, sizeof part, 0);
        if (n <= 0)
            return std::nullopt;
        buffer.append(part, static_cast<std::size_t>(n));
    }
}

std::optional<std::string> reader::bytes(std::size_t count)
{
    while (buffer.size() < count)
    {
        char part[16384];
        const auto n = recv(socket, part, sizeof part, 0);
        if (n <= 0)
            return std::nullopt;
        buffer.append(part, static_cast<std::size_t>(n));
    }
    auto out = buffer.substr(0, count);
    buffer.erase(0, count);
    return out;
}

std::vector<std::string> split(const std::string& text)
{
    std::istringstream in(text);
    std::vector<std::string> out;
    for (std::string it; in >> it;)
        out.push_back(it);
    return out;
}

caller::~caller()
{
    close();
}

void caller::close()
{
    if (socket >= 0)
        ::close(socket);
    socket = -1;
}

bool caller::start(std::uint16_t port, const std::string& database)
{
    socket = connect_to_host(port);
    in = {socket, {}};
    if (socket < 0 || !send_all(socket, "STARTUP " + database + " app\r\n"))
        return false;
    const auto first = in.line();
    if (first && first->rfind("READY", 0) == 0)
        return true;
    refusal = first.value_or("closed");
    return false;
}

std::optional<std::string> caller::query(const std::string& id,
                                         const std::string& text)
{
    if (log)
        log->add("client sends " + id + ' ' + text.substr(0, 40));
    if (!send_all(socket, "QUERY " + id + ' ' + text + "\r\n"))
        return std::nullopt;
    auto out = answer();
    if (log)
        log->add("client gets for " + id + ": " + out.value_or("no answer"));
    return out;
}

std::optional<std::string> caller::answer()
{
    std::string out;
    while (const auto it = in.line())
    {
        out += out.empty() ? "" : " | ";
        out += it->size() > 60 ? it->substr(0, 60) + "..." : *it;
        if (it->rfind("READY", 0) == 0)
            return out;
    }
    return std::nullopt;
}

host start_host(const host_options& options, const std::string& name)
{
    host it;
    it.name = name;
    it.callers = next_host_port();
    it.readiness = next_host_port();
    const auto at = [](const std::string& address, std::uint16_t port)
    {
        return address + ':' + std::to_string(port);
    };
    auto text = read_file(options.settings_template);
    text = fill_in(text, "node", name);
    text = fill_in(text, "zone", "cairo-zamalek");
    text = fill_in(text, "limits.cores", options.cores);
    text = fill_in(text, "listen.front", at(host_address(), it.callers));
    text = fill_in(text, "listen.ready", at(host_address(), it.readiness));
    text = fill_in(text, "ip", host_address());
    text = fill_in(text, "port_range.0", std::to_string(next_host_port()));
    text =
        fill_in(text, "platform.addr", at(standin_address, options.platform));
    text =
        fill_in(text, "cloud_api.addr", at(standin_address, options.platform));
    text = fill_in(text, "bounds.fencing", "true");
    text = fill_in(text, "bounds.grace_s", "6");
    text = fill_in(text, "bounds.drain_ms", "7000");
    const auto path = options.folder + '/' + name + ".ini";
    std::ofstream(path) << text;
    const auto log = options.folder + '/' + name + ".log";
    const auto settings = "GODWITBARROW_CONFIG=" + path;
    char* const environment[] = {const_cast<char*>(settings.c_str()), nullptr};
    it.pid = fork();
    if (it.pid != 0)
        return it;
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    // A faulty host must not use up the memory of the machine.
    const rlimit memory{address_space_bytes, address_space_bytes};
    setrlimit(RLIMIT_AS, &memory);
    // No host outlives the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execle(options.program.c_str(), options.program.c_str(), "--mode=pooler",
           nullptr, environment);
    _exit(127);
}

bool is_ready(const host& it)
{
    const int socket = connect_to_host(it.readiness);
    if (socket < 0)
        return false;
    const timeval patience{2, 0};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    send_all(socket, "GET /readyz HTTP/1.1\r\nHost: host\r\n\r\n");
    reader in{socket, {}};
    const auto first = in.line();
    ::close(socket);
    return first && first->find(" 200") != std::string::npos;
}

void signal_host(const host& it, int number)
{
    if (it.pid > 0)
        kill(it.pid, number);
}

bool has_ended(host& it, int* status)
{
    if (it.pid <= 0)
        return true;
    if (waitpid(it.pid, status, WNOHANG) != it.pid)
        return false;
    it.pid = -1;
    return true;
}

void end_host(host& it)
{
    if (has_ended(it))
        return;
    kill(it.pid, SIGKILL);
    waitpid(it.pid, nullptr, 0);
    it.pid = -1;
}

}  // namespace review
