#include "session_values.hpp"

#include <utility>

namespace godwitbarrow::pooler::detail
{
namespace
{

constexpr std::size_t max_session_values = 64;
constexpr std::size_t max_prepared_per_session = 256;

/// Returns the name of the statement on members, shared by all sessions.
std::string member_name_of(state& all, const statement& what)
{
    const auto key = (what.writes ? "w " : "r ") + what.text;
    const auto it = all.shapes.find(key);
    if (it != all.shapes.end())
        return it->second;
    auto name = "p" + std::to_string(++all.last_shape);
    if (all.shapes.size() >= all.settings.max_shared_shapes ||
        what.text.size() > all.settings.max_shared_shape_bytes)
        return name;
    return all.shapes.emplace(key, std::move(name)).first->second;
}

/// Changes the size of what the session stores; false if it would exceed the
/// limit.
bool replace_stored(const state& all, caller_session& s, std::size_t before,
                    std::size_t after)
{
    const auto total = s.stored_bytes - before + after;
    if (total > all.settings.max_stored_bytes)
        return false;
    s.stored_bytes = total;
    return true;
}

failure too_much_stored()
{
    return {failure_code::too_large,
            "the session stores too much; use shorter values and statements"};
}

std::size_t size_of(const caller_session& s, const std::string& prepared)
{
    const auto it = s.prepared.find(prepared);
    if (it == s.prepared.end())
        return 0;
    return prepared.size() + it->second.shape.size();
}

}  // namespace

statement_result set_value(const state& all, caller_session& s,
                           const statement& what)
{
    const auto known = s.values.find(what.name);
    if (s.values.size() >= max_session_values && known == s.values.end())
        return failure{failure_code::too_large,
                       "too many session values; use fewer names"};
    const auto before = known == s.values.end()
                            ? 0
                            : known->first.size() + known->second.size();
    if (!replace_stored(all, s, before, what.name.size() + what.text.size()))
        return too_much_stored();
    s.values[what.name] = what.text;
    return success{};
}

statement_result prepare(state& all, caller_session& s, const statement& what)
{
    const bool known = s.prepared.count(what.name) > 0;
    if (s.prepared.size() >= max_prepared_per_session && !known)
        return failure{failure_code::too_large,
                       "too many prepared statements; deallocate some"};
    if (!replace_stored(all, s, size_of(s, what.name),
                        what.name.size() + what.text.size()))
        return too_much_stored();
    s.prepared[what.name] = {what.text, what.writes, member_name_of(all, what)};
    return success{};
}

statement_result deallocate(caller_session& s, const statement& what)
{
    s.stored_bytes -= size_of(s, what.name);
    if (s.prepared.erase(what.name) == 0)
        return failure{failure_code::unknown_statement, what.name};
    return success{};
}

}  // namespace godwitbarrow::pooler::detail
