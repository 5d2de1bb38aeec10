#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <random>
#include <thread>

#include "lifecycle.hpp"
#include "pooled/run.hpp"
#include "settings_runner.hpp"

namespace
{

using namespace godwitbarrow;

/// A store that takes 2 s a call is slow and not down.
constexpr std::chrono::milliseconds store_timeout{3000};
constexpr int exit_bad_usage = 2;
constexpr int exit_cannot_serve = 1;

std::uint64_t make_incarnation()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U | device()) >> 1U;
}

void await_signals(proxy::app& it, boost::asio::signal_set& signals)
{
    signals.async_wait(
        [&it, &signals](boost::system::error_code ec, int)
        {
            if (ec)
                return;
            proxy::shut_down(it);
            await_signals(it, signals);
        });
}

void run_workers(proxy::app& it)
{
    std::vector<std::thread> workers;
    for (std::size_t n = 1; n < it.settings_from.workers; ++n)
        workers.emplace_back([&it] { it.io.run(); });
    it.io.run();
    for (auto& n : workers)
        n.join();
}

}  // namespace

int main(int argc, char** argv)
{
    auto parsed = proxy::parse_options(argc, argv);
    if (!ok(parsed))
    {
        std::cerr << std::get<core::error>(parsed).message << '\n';
        return exit_bad_usage;
    }
    const auto& given = std::get<proxy::options>(parsed);
    if (given.mode == proxy::process_mode::pooler)
        return proxy::pooled::run(given.host_settings, given.change_limit);
    proxy::app it(std::get<proxy::options>(std::move(parsed)));
    telemetry::start_logging(it.settings_from.level);
    it.incarnation = make_incarnation();
    it.metrics = telemetry::make_metrics();
    store::client_options store;
    store.service = it.settings_from.platform;
    store.timeout = store_timeout;
    it.store = store::make_client(it.io.get_executor(), store);
    boost::asio::signal_set signals(it.io, SIGTERM, SIGINT);
    await_signals(it, signals);
    int exit_code = 0;
    proxy::start_settings(
        it,
        [&it, &exit_code]
        {
            const auto started = proxy::start_serving(it);
            if (ok(started))
                return;
            telemetry::log_event(
                telemetry::log_level::error, "cannot serve",
                {{"reason", std::get<core::error>(started).message}});
            exit_code = exit_cannot_serve;
            it.io.stop();
        });
    run_workers(it);
    return exit_code;
}
