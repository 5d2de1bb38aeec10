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

/// The 64-bit finaliser of MurmurHash3. With FNV-1a alone, similar names have
/// similar hashes, so one host would have the highest hash too often.
std::uint64_t murmur3_finalise(std::uint64_t hash)
{
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33U;
    return hash;
}

bool is_usable(const host_entry& host)
{
    return !host.leaving && !host.suspected;
}

bool contains(const std::vector<core::host_id>& hosts,
              const core::host_id& host)
{
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

/// Returns the usable host with the highest hash among those that satisfy
/// `predicate`; the lower host id wins if two hashes are equal.
template <class Predicate>
std::optional<core::host_id> host_with_highest_hash(
    std::string_view key, const std::vector<host_entry>& hosts,
    const Predicate& predicate)
{
    const host_entry* best = nullptr;
    std::uint64_t best_hash = 0;
    for (const auto& candidate : hosts)
    {
        if (!is_usable(candidate) || !predicate(candidate))
            continue;
        const auto hash = rendezvous_hash(key, candidate.host.value);
        const bool preferred =
            best == nullptr || hash > best_hash ||
            (hash == best_hash && candidate.host < best->host);
        if (!preferred)
            continue;
        best = &candidate;
        best_hash = hash;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->host;
}

/// Searches the data centre of the server, then its region, then all hosts, and
/// stops at the first level that has a usable host satisfying `predicate`.
template <class Predicate>
std::optional<core::host_id> nearest_host(const server_location& server,
                                          const std::vector<host_entry>& hosts,
                                          const Predicate& predicate)
{
    const auto& key = server.server.value;
    const auto in_data_centre = [&](const host_entry& host)
    {
        return predicate(host) && host.at.data_centre == server.at.data_centre;
    };
    const auto in_region = [&](const host_entry& host)
    {
        return predicate(host) && host.at.region == server.at.region;
    };
    if (auto host = host_with_highest_hash(key, hosts, in_data_centre))
        return host;
    if (auto host = host_with_highest_hash(key, hosts, in_region))
        return host;
    return host_with_highest_hash(key, hosts, predicate);
}

}  // namespace
}  // namespace detail

std::uint64_t rendezvous_hash(std::string_view key, std::string_view host)
{
    auto hash = detail::fnv_1a(detail::fnv_offset, key);
    // The separator makes the hashes of ("ab", "c") and ("a", "bc") differ.
    hash = detail::fnv_1a(hash, std::string_view("\0", 1));
    return detail::murmur3_finalise(detail::fnv_1a(hash, host));
}

std::optional<core::host_id> owner_of(
    const server_location& server, const std::vector<host_entry>& hosts,
    const std::vector<core::host_id>& disconnected)
{
    const auto is_connected = [&](const host_entry& host)
    {
        return !detail::contains(disconnected, host.host);
    };
    if (auto host = detail::nearest_host(server, hosts, is_connected))
        return host;
    return detail::nearest_host(server, hosts,
                                [](const host_entry&) { return true; });
}

std::optional<core::host_id> coordinator_of(
    const core::group_id& group, const std::vector<host_entry>& hosts)
{
    return detail::host_with_highest_hash(
        group.value, hosts, [](const host_entry&) { return true; });
}

}  // namespace godwitbarrow::routing
