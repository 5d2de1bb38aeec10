#include "app.hpp"

namespace godwitbarrow::proxy
{

app::app(options o)
    : settings_from(std::move(o)),
      self(settings_from.host),
      scan_timer(io),
      membership_timer(io),
      drain_timer(io)
{
}

settings_ptr current_settings(app& it)
{
    std::lock_guard lock(it.settings.mutex);
    return it.settings.current;
}

routing::location place_of(const settings::settings& of,
                           const core::data_centre_id& data_centre)
{
    const auto n = of.data_centres.find(data_centre);
    return {data_centre,
            n == of.data_centres.end() ? core::region_id() : n->second.region};
}

group_ptr find_group(app& it, const core::group_id& id)
{
    std::lock_guard lock(it.groups.mutex);
    const auto n = it.groups.groups.find(id);
    return n == it.groups.groups.end() ? nullptr : n->second;
}

std::vector<group_ptr> all_groups(app& it)
{
    std::vector<group_ptr> all;
    std::lock_guard lock(it.groups.mutex);
    all.reserve(it.groups.groups.size());
    for (const auto& n : it.groups.groups)
        all.push_back(n.second);
    return all;
}

}  // namespace godwitbarrow::proxy
