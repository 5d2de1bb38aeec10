#include "delta_codec.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "app.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

namespace json = boost::json;

/// Half of the largest frame, so that names and encoding fit as well.
constexpr std::size_t chunk_bytes = peer::max_frame_bytes / 2;

core::error malformed_delta()
{
    return {core::error_kind::protocol_error,
            "a peer sent a settings delta that this version cannot read; "
            "upgrade this host"};
}

bool read_changes(const json::object& from,
                  std::map<std::string, std::optional<std::string>>& to)
{
    for (const auto& n : from)
    {
        if (n.value().is_null())
            to[std::string(n.key())] = std::nullopt;
        else if (n.value().is_string())
            to[std::string(n.key())] = std::string(n.value().as_string());
        else
            return false;
    }
    return true;
}

}  // namespace
}  // namespace detail

std::string encode_delta(const settings::settings_delta& it)
{
    boost::json::object changes;
    for (const auto& [name, content] : it.changes)
        changes[name] = content ? boost::json::value(*content)
                                : boost::json::value(nullptr);
    return boost::json::serialize(
        boost::json::object{{"from_digest", it.from_digest},
                            {"to_digest", it.to_digest},
                            {"changes", std::move(changes)}});
}

core::result<settings::settings_delta> decode_delta(
    settings::generation_number from, settings::generation_number to,
    const std::string& content)
{
    boost::json::error_code ec;
    const auto parsed = boost::json::parse(content, ec);
    if (ec || !parsed.is_object())
        return detail::malformed_delta();
    const auto& n = parsed.as_object();
    const auto* from_digest = n.if_contains("from_digest");
    const auto* to_digest = n.if_contains("to_digest");
    const auto* changes = n.if_contains("changes");
    if (from_digest == nullptr || !from_digest->is_string() ||
        to_digest == nullptr || !to_digest->is_string() || changes == nullptr ||
        !changes->is_object())
        return detail::malformed_delta();
    settings::settings_delta it;
    it.from = from;
    it.to = to;
    it.from_digest = from_digest->as_string();
    it.to_digest = to_digest->as_string();
    if (!detail::read_changes(changes->as_object(), it.changes))
        return detail::malformed_delta();
    return it;
}

std::vector<peer::settings_delta> whole_settings_chunks(app& it)
{
    std::vector<peer::settings_delta> chunks(1);
    std::size_t used = 0;
    std::lock_guard lock(it.settings.mutex);
    if (it.settings.generation == 0)
        return {};
    for (const auto& [name, content] : it.settings.files)
    {
        if (used > 0 && used + content.size() > detail::chunk_bytes)
        {
            chunks.emplace_back();
            used = 0;
        }
        chunks.back().changed.push_back({name, content});
        used += name.size() + content.size();
    }
    const auto digest = settings::digest(it.settings.files);
    for (std::size_t n = 0; n < chunks.size(); ++n)
    {
        chunks[n].to = it.settings.generation;
        chunks[n].chunk_index = static_cast<std::uint32_t>(n);
        chunks[n].chunk_count = static_cast<std::uint32_t>(chunks.size());
        chunks[n].digest = digest;
    }
    return chunks;
}

std::optional<settings::newer_generation_received> add_chunk(
    settings_transfer& it, std::uint64_t have_generation,
    const peer::settings_delta& chunk)
{
    if (chunk.to <= have_generation || chunk.from != 0)
        return std::nullopt;
    if (chunk.chunk_index == 0)
        it = {chunk.to, 0, {}};
    if (chunk.to != it.generation || chunk.chunk_index != it.next_chunk)
    {
        it = {};
        return std::nullopt;
    }
    for (const auto& n : chunk.changed)
        it.files[n.name] = n.content;
    if (++it.next_chunk < chunk.chunk_count)
        return std::nullopt;
    auto whole = std::move(it);
    it = {};
    if (settings::digest(whole.files) != chunk.digest)
        return std::nullopt;
    return settings::newer_generation_received{whole.generation,
                                               std::move(whole.files)};
}

}  // namespace godwitbarrow::proxy
