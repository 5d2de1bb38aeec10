#include "godwitbarrow/telemetry/line_writer.hpp"

#include <poll.h>
#include <unistd.h>

namespace godwitbarrow::telemetry
{
namespace detail
{
namespace
{

bool is_writable(int descriptor)
{
    pollfd it{descriptor, POLLOUT, 0};
    return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

}  // namespace
}  // namespace detail

void write_line(line_writer& to, std::string_view line)
{
    if (!detail::is_writable(to.descriptor))
    {
        ++to.dropped;
        return;
    }
    std::string out(line.substr(0, longest_line - 1));
    if (to.dropped > 0)
    {
        const auto note = " dropped_before=" + std::to_string(to.dropped);
        out.resize(std::min(out.size(), longest_line - 1 - note.size()));
        out += note;
    }
    out += '\n';
    const auto n = write(to.descriptor, out.data(), out.size());
    to.dropped = n < 0 ? to.dropped + 1 : 0;
}

}  // namespace godwitbarrow::telemetry
