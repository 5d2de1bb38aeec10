#include "views.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "group_runner.hpp"
#include "membership_runner.hpp"

namespace godwitbarrow::proxy
{
namespace detail
{
namespace
{

namespace json = boost::json;

core::error malformed_row()
{
    return {
        core::error_kind::protocol_error,
        "the group row is not a record of this version; check which program "
        "writes to the table \"groups\""};
}

/// Each held request asks for the view. Without a bound, the reads of one
/// group could delay the claim of its coordinator at a slow store.
constexpr std::chrono::milliseconds refresh_interval{500};

bool may_refresh(group_entry& group)
{
    const auto now = core::runtime_clock::now();
    std::lock_guard lock(group.mutex);
    if (now < group.next_refresh)
        return false;
    group.next_refresh = now + refresh_interval;
    return true;
}

std::string text_of(const json::object& it, const char* key)
{
    const auto* n = it.if_contains(key);
    return n != nullptr && n->is_string() ? std::string(n->as_string())
                                          : std::string();
}

}  // namespace
}  // namespace detail

std::string encode_row(const failover::group_row& it)
{
    boost::json::object n;
    n["term"] = it.term;
    n["primary"] = encode_primary(it.primary);
    n["attempt"] = it.attempt.value;
    return boost::json::serialize(n);
}

core::result<failover::group_row> decode_row(std::string_view text)
{
    boost::json::error_code ec;
    const auto parsed = boost::json::parse({text.data(), text.size()}, ec);
    if (ec || !parsed.is_object())
        return detail::malformed_row();
    const auto& n = parsed.as_object();
    const auto* term = n.if_contains("term");
    if (term == nullptr || !term->is_number())
        return detail::malformed_row();
    failover::group_row it;
    it.term = term->to_number<core::term_number>(ec);
    if (ec)
        return detail::malformed_row();
    it.primary = decode_primary(detail::text_of(n, "primary"));
    it.attempt.value = detail::text_of(n, "attempt");
    return it;
}

std::string encode_primary(const std::optional<core::server_id>& it)
{
    return it ? it->value : std::string();
}

std::optional<core::server_id> decode_primary(const std::string& text)
{
    if (text.empty())
        return std::nullopt;
    return core::server_id{text};
}

void refresh_view(app& it, const group_ptr& group)
{
    if (!detail::may_refresh(*group))
        return;
    store::read_row(
        it.store, std::string(group_table_name), group->id.value,
        [&it, group](const core::result<store::versioned_value>& read)
        {
            if (!ok(read))
                return;
            const auto row =
                decode_row(std::get<store::versioned_value>(read).value);
            if (!ok(row))
                return;
            const auto& n = std::get<failover::group_row>(row);
            if (n.primary)
                learn_view(it, group, n.term, n.primary);
        });
}

void announce_view(app& it, const core::group_id& group, core::term_number term,
                   const core::server_id& primary)
{
    post(it, membership::view_published{{group, term, primary.value}});
}

void publish_view(app& it, const group_ptr& group, core::term_number term,
                  const std::optional<core::server_id>& primary)
{
    post(it, group, serving::event(serving::view_changed{term, primary}));
    if (primary)
        announce_view(it, group->id, term, *primary);
}

}  // namespace godwitbarrow::proxy
