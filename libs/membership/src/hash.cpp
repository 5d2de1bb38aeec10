#include <algorithm>
#include <utility>

#include "detail.hpp"

namespace godwitbarrow::membership::detail
{

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    // FNV-1a, finished with the mixer of SplitMix64, as the high bits of FNV
    // hardly differ between short names.
    std::uint64_t h = 14695981039346656037ULL ^ seed;
    for (const char c : text)
        h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    h = (h ^ (h >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    h = (h ^ (h >> 27U)) * 0x94d049bb133111ebULL;
    return h ^ (h >> 31U);
}

std::vector<core::host_id> best_hosts(const std::vector<core::host_id>& hosts,
                                      std::uint64_t seed, std::size_t n)
{
    std::vector<std::pair<std::uint64_t, const core::host_id*>> ranked;
    ranked.reserve(hosts.size());
    for (const auto& host : hosts)
        ranked.emplace_back(hash_of(host.value, seed), &host);
    n = std::min(n, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(n),
                      ranked.end(), std::greater<>());
    std::vector<core::host_id> best;
    for (std::size_t i = 0; i < n; ++i)
        best.push_back(*ranked[i].second);
    return best;
}

std::size_t bucket_of(std::string_view key)
{
    return hash_of(key, 0) % digest_count;
}

}  // namespace godwitbarrow::membership::detail
