#include "host_process.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>

#include "crowd.hpp"
#include "godwitbarrow/standins/http_server.hpp"

namespace godwitbarrow::test
{
namespace detail
{
namespace
{

using namespace std::chrono_literals;

/// Generous, and only reached if a test fails.
constexpr auto test_limit = 15s;
constexpr auto attempt_limit = 3s;
constexpr auto attempt_pause = 50ms;

/// Different runs on one machine use different loopback addresses.
std::string address_of_run()
{
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + id / 250 % 250) + "." +
           std::to_string(1 + id % 250) + ".3";
}

void write_settings(const host_process& it)
{
    const auto at = [&](std::uint16_t port)
    {
        return it.address + ":" + std::to_string(port) + "\n";
    };
    const auto store = "127.0.0.1:" + std::to_string(it.store.port()) + "\n";
    std::ofstream out(it.folder + "/host.ini");
    out << "[host]\nname = host-1\ndata_centre = north\nworkers = 2\n"
        << "[listen]\ncallers = " << at(callers_port)
        << "readiness = " << at(readiness_port)
        << "readiness_path = /readyz\nmetrics = " << at(metrics_port)
        << "[store]\naddress = " << store << "[promotions]\naddress = " << store
        << "[shutdown]\ngrace = 2s\n[members]\nleaving_limit = 7s\n"
        << "[limits]\nmemory = " << memory_limit_mib
        << "MiB\ndescriptors = " << descriptor_limit << "\n";
}

void fill_store(host_process& it)
{
    it.store.put("servers", "a",
                 R"({"service":"quotes","addr":"127.0.0.1:)" +
                     std::to_string(it.primary->port()) +
                     R"(","zone":"north","version":"v1","slots":2,)"
                     R"("state":"ready","cold_left_ms":0,)"
                     R"("db_role":"primary","seq":1,"born":1})");
    it.store.put("op", "config",
                 R"({"version":1,"routes":[{"name":"r","host":"newest",)"
                 R"("type":"primary","timeout_ms":2000,"slo_ms":4000,)"
                 R"("priority":0,"service":"quotes","max_stale_ms":0}],)"
                 R"("services":[{"name":"quotes","max_conns":16,)"
                 R"("sync_replicas":0}],"limits":{"tx_idle_ms":3000}})");
}

template <class Action>
void at_standins(host_process& it, Action action)
{
    std::promise<void> done;
    boost::asio::post(it.io,
                      [&]
                      {
                          action();
                          done.set_value();
                      });
    done.get_future().wait();
}

template <class Condition>
bool wait_until(std::chrono::milliseconds limit, Condition done)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done())
    {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(attempt_pause);
    }
    return true;
}

/// Sends the bytes on a new connection and waits for an answer that holds
/// `expected`.
bool is_answered(const host_process& it, std::uint16_t port,
                 const std::string& bytes, const std::string& expected)
{
    boost::asio::io_context io;
    crowd alone(io, it.address, port, 1);
    if (alone.members.empty())
        return false;
    alone.members[0].unsent = bytes;
    std::string got;
    return wait_until(attempt_limit,
                      [&]
                      {
                          send_some(alone.members[0], bytes.size());
                          got += receive_some(alone.members[0]);
                          return got.find(expected) != std::string::npos;
                      });
}

}  // namespace
}  // namespace detail

host_process::host_process()
    : folder((std::filesystem::temp_directory_path() /
              ("callers_test." + std::to_string(getpid())))
                 .string()),
      address(detail::address_of_run())
{
    std::filesystem::create_directories(folder);
    data->primary = "a";
    data->items["small"] = "value";
    data->items["large"] = std::string(large_bytes, 'v');
    primary = std::make_unique<member_standin>(io, "quotes", "a", data);
    detail::fill_store(*this);
    detail::write_settings(*this);
    standin_thread = std::thread([this] { io.run(); });
    auto started =
        scenario::start_process({GODWITBARROW_PROGRAM, "--mode=pooler",
                                 "--host_settings=" + folder + "/host.ini"},
                                folder + "/host.log");
    if (auto* p = std::get_if<scenario::process>(&started))
        process = *p;
    const rlimit files{descriptor_limit, descriptor_limit};
    prlimit(process.id, RLIMIT_NOFILE, &files, nullptr);
    detail::wait_until(
        detail::test_limit,
        [this] { return answers_http(*this, readiness_port, "/readyz"); });
}

host_process::~host_process()
{
    scenario::end_process(process);
    detail::at_standins(*this,
                        [this]
                        {
                            store.waiting.clear();
                            standins::stop(store.server);
                        });
    // Lets the handlers of the closed sessions run.
    detail::at_standins(*this, [] {});
    io.stop();
    standin_thread.join();
    std::filesystem::remove_all(folder);
}

bool is_running(host_process& it)
{
    using namespace std::chrono_literals;
    return it.process.id > 0 && !scenario::wait_for_exit(it.process, 0ms);
}

std::size_t peak_memory_mib(const host_process& it)
{
    std::ifstream in("/proc/" + std::to_string(it.process.id) + "/status");
    std::string word;
    std::size_t kib = 0;
    while (in >> word)
        if (word == "VmHWM:")
            in >> kib;
    return kib / 1024;
}

std::size_t open_descriptors(const host_process& it)
{
    const std::filesystem::directory_iterator all(
        "/proc/" + std::to_string(it.process.id) + "/fd");
    return static_cast<std::size_t>(
        std::distance(begin(all), std::filesystem::directory_iterator()));
}

bool answers_ordinary_caller(const host_process& it)
{
    return detail::wait_until(detail::test_limit,
                              [&]
                              {
                                  return detail::is_answered(
                                      it, callers_port,
                                      "STARTUP newest test\r\n"
                                      "QUERY 5c0e7a21 READ small\r\n",
                                      "ROW value\r\nDONE sig\r\nREADY I");
                              });
}

bool answers_http(const host_process& it, std::uint16_t port,
                  const std::string& path)
{
    return detail::wait_until(
        detail::test_limit,
        [&]
        {
            return detail::is_answered(
                it, port, "GET " + path + " HTTP/1.1\r\nHost: host\r\n\r\n",
                "HTTP/1.1 200");
        });
}

}  // namespace godwitbarrow::test
