#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

/// Bounds what is on its way to a host, so that short messages never wait
/// behind much of a long one. Each host reports in its batches how many bytes
/// of batches it has taken.
namespace godwitbarrow::relay
{

/// Takes 0.1 s on a link of 10 Mbit/s.
constexpr std::size_t max_bytes_under_way = std::size_t{128} * 1024;
/// What a host takes before it reports it without an item to send.
constexpr std::size_t report_interval_bytes = std::size_t{16} * 1024;
/// Items beyond this are handed over without a bound: the limit of the write
/// queue closes the link of a host that takes nothing.
constexpr std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;

/// Encoded bytes of batches since the link to a host is open. Batches that
/// cannot be decoded count as well.
struct link_flow
{
    std::uint64_t sent = 0;
    /// What of it the host has reported as taken. Absent until its first
    /// report; hosts of earlier versions send none.
    std::optional<std::uint64_t> acknowledged;
    std::uint64_t taken = 0;
    /// What of `taken` the host has been told.
    std::optional<std::uint64_t> reported;
};

/// How many bytes of items of sessions may be sent now.
std::size_t send_budget(const link_flow& it, std::size_t queued_bytes);

/// Whether `taken` is to be reported though no item is to be sent.
bool is_report_due(const link_flow& it);

}  // namespace godwitbarrow::relay
