#include "godwitbarrow/routing/owner.hpp"

#include <algorithm>

namespace godwitbarrow::routing
{
namespace detail
{
namespace
{

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

std::uint64_t fnv_1a(std::uint64_t hash, std::string_view text)
{
    for (const char c : text)
    {
        hash ^= static_cast<unsigned char>(c);
        hash *= fnv_prime;
    }
    return hash;
}

/// Finaliser of MurmurHash3: FNV-1a alone leaves the hashes of similar names
/// close together, so one host would win too often.
std::uint64_t mix(std::uint64_t hash)
{
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33U;
    return hash;
}

bool usable(const host_entry& it)
{
    return !it.leaving && !it.suspected;
}

bool listed(const std::vector<core::host_id>& hosts, const core::host_id& it)
{
    return std::find(hosts.begin(), hosts.end(), it) != hosts.end();
}

template <class Accept>
std::optional<core::host_id> highest(std::string_view key,
                                     const std::vector<host_entry>& hosts,
                                     const Accept& accept)
{
    const host_entry* best = nullptr;
    std::uint64_t best_hash = 0;
    for (const auto& it : hosts)
    {
        if (!usable(it) || !accept(it))
            continue;
        const auto hash = rendezvous_hash(key, it.host.value);
        const bool wins = best == nullptr || hash > best_hash ||
                          (hash == best_hash && it.host < best->host);
        if (!wins)
            continue;
        best = &it;
        best_hash = hash;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->host;
}

/// The nearest level that has an acceptable host decides.
template <class Accept>
std::optional<core::host_id> nearest(const server_location& server,
                                     const std::vector<host_entry>& hosts,
                                     const Accept& accept)
{
    const auto& key = server.server.value;
    const auto in_data_centre = [&](const host_entry& it)
    {
        return accept(it) && it.at.data_centre == server.at.data_centre;
    };
    const auto in_region = [&](const host_entry& it)
    {
        return accept(it) && it.at.region == server.at.region;
    };
    if (auto it = highest(key, hosts, in_data_centre))
        return it;
    if (auto it = highest(key, hosts, in_region))
        return it;
    return highest(key, hosts, accept);
}

}  // namespace
}  // namespace detail

std::uint64_t rendezvous_hash(std::string_view key, std::string_view host)
{
    auto hash = detail::fnv_1a(detail::fnv_offset, key);
    // The separator keeps ("ab", "c") apart from ("a", "bc").
    hash = detail::fnv_1a(hash, std::string_view("\0", 1));
    return detail::mix(detail::fnv_1a(hash, host));
}

std::optional<core::host_id> owner_of(
    const server_location& server, const std::vector<host_entry>& hosts,
    const std::vector<core::host_id>& without_contact)
{
    const auto has_contact = [&](const host_entry& it)
    {
        return !detail::listed(without_contact, it.host);
    };
    if (auto it = detail::nearest(server, hosts, has_contact))
        return it;
    return detail::nearest(server, hosts,
                           [](const host_entry&) { return true; });
}

std::optional<core::host_id> coordinator_of(
    const core::group_id& group, const std::vector<host_entry>& hosts)
{
    return detail::highest(group.value, hosts,
                           [](const host_entry&) { return true; });
}

}  // namespace godwitbarrow::routing
