#include "settings_runner.hpp"

#include "delta_codec.hpp"
#include "group_runner.hpp"
#include "membership_runner.hpp"
#include "peers.hpp"
#include "roles.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds scan_interval{500};
constexpr const char* table_name = "settings";
constexpr const char* row_key = "current";

core::error error_of(const core::error& it, const char* operation,
                     telemetry::metrics& metrics)
{
    if (it.kind == core::error_kind::store_unavailable)
        telemetry::count_store_error(metrics, operation);
    return it;
}

void perform_one(app& it, const settings::read_row&)
{
    store::read_row(
        it.store, table_name, row_key,
        [&it](const core::result<store::versioned_value>& read)
        {
            settings::row_read event;
            if (!ok(read))
            {
                const auto& n = std::get<core::error>(read);
                if (n.kind == core::error_kind::not_found)
                    event.row = settings::versioned_row();
                else
                    event.row = error_of(n, "read_settings_row", *it.metrics);
                return post(it, event);
            }
            const auto& value = std::get<store::versioned_value>(read);
            const auto row = settings::decode_row(value.value);
            if (ok(row))
                event.row = settings::versioned_row{
                    std::get<settings::settings_row>(row), value.version};
            else
                event.row = std::get<core::error>(row);
            post(it, event);
        });
}

void perform_one(app& it, const settings::write_row& what)
{
    store::write_row(it.store, table_name, row_key,
                     settings::encode_row(what.row), what.expected_version,
                     [&it](const core::result<std::uint64_t>& version)
                     {
                         if (!ok(version))
                             error_of(std::get<core::error>(version),
                                      "write_settings_row", *it.metrics);
                         post(it, settings::row_written{version});
                     });
}

void perform_one(app& it, const settings::put_object& what)
{
    store::put_object(
        it.store, what.digest, settings::encode_file_set(*what.files),
        [&it](const core::result<std::monostate>& done)
        {
            settings::object_put event;
            if (!ok(done))
                event.failure = error_of(std::get<core::error>(done),
                                         "put_settings", *it.metrics);
            post(it, event);
        });
}

void perform_one(app& it, const settings::get_object& what)
{
    store::get_object(
        it.store, what.digest,
        [&it, what](const core::result<std::string>& read)
        {
            settings::object_read event;
            event.digest = what.digest;
            if (ok(read))
                event.files =
                    settings::decode_file_set(std::get<std::string>(read));
            else
                event.files = error_of(std::get<core::error>(read),
                                       "get_settings", *it.metrics);
            post(it, event);
        });
}

// Puts the values in effect; returns what the peers need, as a delta from the
// generation before. The order of two changes is kept by the generation.
std::optional<membership::settings_delta> install(app& it,
                                                  const settings::apply& what)
{
    std::lock_guard lock(it.settings.mutex);
    if (what.generation <= it.settings.generation)
        return std::nullopt;
    const auto delta =
        settings::make_delta(it.settings.generation, what.generation,
                             it.settings.files, *what.files);
    it.settings.current = what.values;
    it.settings.generation = what.generation;
    it.settings.files = *what.files;
    return membership::settings_delta{delta.from, delta.to,
                                      encode_delta(delta)};
}

void announce_first(app& it)
{
    std::function<void()> first;
    {
        std::lock_guard lock(it.settings.mutex);
        first.swap(it.settings.on_first);
    }
    if (first)
        first();
}

void perform_one(app& it, const settings::apply& what)
{
    const auto delta = install(it, what);
    if (!delta)
        return;
    telemetry::set_settings_generation(*it.metrics, what.generation);
    telemetry::log_event(
        telemetry::log_level::info, "settings in effect",
        {{"generation", what.generation}, {"digest", what.digest}});
    apply_group_settings(it, *what.values);
    announce_first(it);
    post(it, membership::settings_accepted{*delta});
    refresh_roles(it);
}

// The folder may be outdated, so it only names the peers to ask while the
// store is down; callers are served from the first generation on.
void perform_one(app& it, const settings::bootstrap& what)
{
    std::lock_guard lock(it.settings.mutex);
    if (!it.settings.seeds.empty())
        return;
    for (const auto& [id, host] : what.values->hosts)
        if (id != it.self)
            it.settings.seeds.push_back({host.address, host.peer_port});
}

void note_rejection(app& it, const std::string& reason)
{
    {
        std::lock_guard lock(it.settings.mutex);
        if (it.settings.last_rejection == reason)
            return;
        it.settings.last_rejection = reason;
    }
    telemetry::log_event(telemetry::log_level::error, "settings not accepted",
                         {{"reason", reason}});
}

void perform_one(app& it, const settings::report_rejected& what)
{
    std::string reason;
    for (const auto& n : what.problems)
        reason += (reason.empty() ? "" : "; ") + settings::to_string(n);
    note_rejection(it, reason);
}

void perform_one(app& it, const settings::report_conflict& what)
{
    note_rejection(it, settings::to_string(what));
}

void perform_one(app& it, const settings::report_published& what)
{
    {
        std::lock_guard lock(it.settings.mutex);
        it.settings.last_rejection.clear();
    }
    telemetry::log_event(telemetry::log_level::info, "settings published",
                         {{"generation", what.generation}});
}

void perform_one(app& it, const settings::report_store_failure& what)
{
    telemetry::log_event(
        telemetry::log_level::warning, "settings wait for the store",
        {{"reason", what.reason.message}, {"failures", what.failures}});
    bool has_settings = false;
    {
        std::lock_guard lock(it.settings.mutex);
        has_settings = it.settings.generation > 0;
    }
    if (!has_settings)
        request_settings_from_seeds(it);
}

void scan(app& it)
{
    if (!it.settings_from.folder.empty())
    {
        auto files = settings::read_folder(it.settings_from.folder);
        if (ok(files))
            post(it, settings::folder_scanned{
                         std::get<settings::file_set>(std::move(files))});
        else
            note_rejection(it, std::get<core::error>(files).message);
    }
    post(it, settings::tick{});
    it.scan_timer.expires_after(scan_interval);
    it.scan_timer.async_wait(
        [&it](boost::system::error_code ec)
        {
            if (!ec)
                scan(it);
        });
}

}  // namespace
}  // namespace detail

void post(app& it, const settings::event& what)
{
    std::vector<settings::action> actions;
    {
        std::lock_guard lock(it.settings.mutex);
        actions = settings::decide(it.settings.publish, what,
                                   core::runtime_clock::now());
    }
    for (const auto& action : actions)
        std::visit([&](const auto& n) { detail::perform_one(it, n); }, action);
}

void start_settings(app& it, std::function<void()> on_first)
{
    {
        std::lock_guard lock(it.settings.mutex);
        it.settings.on_first = std::move(on_first);
        it.settings.seeds = it.settings_from.seeds;
        it.settings.publish.self = it.self;
        it.settings.publish.incarnation = std::to_string(it.incarnation);
    }
    detail::scan(it);
}

void apply_from_peer(app& it, const membership::settings_delta& what)
{
    const auto delta = decode_delta(what.base, what.generation, what.content);
    if (!ok(delta))
        return;
    core::result<settings::file_set> files = settings::file_set();
    {
        std::lock_guard lock(it.settings.mutex);
        if (what.generation <= it.settings.generation ||
            what.base != it.settings.generation)
            return;
        files = settings::apply_delta(
            it.settings.files, std::get<settings::settings_delta>(delta));
    }
    if (ok(files))
        post(it, settings::newer_generation_received{
                     what.generation,
                     std::get<settings::file_set>(std::move(files))});
}

void send_whole_settings(app& it, const peer::link_ptr& to)
{
    for (const auto& n : whole_settings_chunks(it))
        peer::send(to, n);
}

void send_whole_settings(app& it, const core::host_id& to)
{
    for (const auto& n : whole_settings_chunks(it))
        send_to(it, to, n);
}

void receive_whole_settings(app& it, const peer::settings_delta& what)
{
    std::optional<settings::newer_generation_received> event;
    {
        std::lock_guard lock(it.settings.mutex);
        event = add_chunk(it.settings.transfer, it.settings.generation, what);
    }
    if (event)
        post(it, *event);
}

}  // namespace godwitbarrow::proxy
