#include "takeover_rows.hpp"

#include "godwitbarrow/platform/rows.hpp"
#include "godwitbarrow/takeover/row.hpp"
#include "godwitbarrow/telemetry/log.hpp"
#include "row_share.hpp"
#include "store_link.hpp"
#include "table_watch.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds store_limit{800};
/// Time that the store holds a call without a new claim.
constexpr watch_times claim_times{std::chrono::milliseconds(10000),
                                  std::chrono::milliseconds(1200)};
/// Of a claim whose time is of an earlier clock of the store.
constexpr std::chrono::milliseconds unknown_age = std::chrono::hours(1);
const std::string claim_table = "takeovers";
const std::string vote_table = "takeover_votes";

using core::group_id;

/// Votes have the key of their group, the separator and the name of the host.
constexpr char vote_separator = '/';
/// The first key after those of all votes of a group.
constexpr char after_votes = vote_separator + 1;

std::string vote_prefix(const group_id& group)
{
    return group.value + vote_separator;
}

void log_unreadable(const platform::row& row, const core::error& why)
{
    telemetry::log_event(telemetry::log_level::error, "takeover row not used",
                         {{"row", row.key}, {"reason", why.message}});
}

void add_claim(takeover::rows_read& out, const platform::row& row)
{
    out.version = row.version;
    const auto decoded = takeover::decode_claim(row.value);
    if (const auto* e = std::get_if<core::error>(&decoded))
        return log_unreadable(row, *e);
    out.last_claim = std::get<takeover::claim>(decoded);
}

void add_vote(takeover::rows_read& out, const group_id& group,
              const platform::row& row)
{
    const auto decoded = takeover::decode_vote(row.value);
    if (const auto* e = std::get_if<core::error>(&decoded))
        return log_unreadable(row, *e);
    out.votes[{row.key.substr(vote_prefix(group).size())}] =
        std::get<takeover::vote>(decoded);
}

takeover::event as_read(takeover::rows_read out, const group_id& group,
                        const core::result<platform::row_page>& read)
{
    if (!ok(read))
        return takeover::store_failed{};
    const auto& page = std::get<platform::row_page>(read);
    out.store_time = page.store_time;
    out.era = page.era;
    // Keys of other groups whose names continue this one may be between.
    for (const auto& row : page.rows)
        if (row.key == group.value)
            add_claim(out, row);
    return out;
}

takeover::event as_written(const http::exchange_result& got)
{
    const auto* a = std::get_if<http::answer>(&got);
    if (!a)
        return takeover::row_written{takeover::write_result::unknown, 0};
    const auto parsed = platform::parse_written(*a);
    if (const auto* e = std::get_if<core::error>(&parsed))
        return takeover::row_written{e->kind == core::error_kind::conflict
                                         ? takeover::write_result::conflict
                                         : takeover::write_result::unknown,
                                     0};
    const auto& done = std::get<platform::written_row>(parsed);
    return takeover::row_written{takeover::write_result::done, done.version,
                                 done.era};
}

platform::row claim_row(const group_id& group, const takeover::claim& claim)
{
    platform::row out;
    out.table = claim_table;
    out.key = group.value;
    out.value = takeover::encode(claim);
    return out;
}

void write(app& it, const std::shared_ptr<service_link>& on,
           const platform::row& row, std::optional<std::uint64_t> expected,
           takeover_handler handler)
{
    call_service(
        it, on, platform::write_row(row, expected), store_limit,
        [handler = std::move(handler)](const http::exchange_result& got)
        { handler(as_written(got)); });
}

void pass_on(const platform::row_page& page, const claim_handlers& on)
{
    pooler::claims_read read{page.read_at, {}};
    for (const auto& row : page.rows)
    {
        takeover::rows_read found;
        if (!row.deleted)
            add_claim(found, row);
        if (!found.last_claim)
            continue;
        const auto& made = *found.last_claim;
        // A later time is of a clock that has started anew since.
        const auto age = made.claimed_at <= page.store_time
                             ? page.store_time - made.claimed_at
                             : unknown_age;
        read.claims.push_back({{row.key}, made.replaced, made.token});
        on.claim({row.key}, {made, row.version, age, page.era});
    }
    on.read(std::move(read));
}

}  // namespace
}  // namespace detail

void read_takeover_rows(app& it, const std::shared_ptr<service_link>& on,
                        const core::group_id& group,
                        const takeover_handler& handler)
{
    const auto read_claim =
        [&it, on, group, handler](const takeover::rows_read& votes)
    {
        read_table(
            it, on, detail::claim_table,
            {group.value, detail::vote_prefix(group)}, detail::store_limit,
            [group, handler, votes](const core::result<platform::row_page>& got)
            { handler(detail::as_read(votes, group, got)); });
    };
    read_table(
        it, on, detail::vote_table,
        {detail::vote_prefix(group), group.value + detail::after_votes},
        detail::store_limit,
        [group, handler,
         read_claim](const core::result<platform::row_page>& page)
        {
            if (!ok(page))
                return handler(takeover::store_failed{});
            takeover::rows_read out;
            for (const auto& row : std::get<platform::row_page>(page).rows)
                detail::add_vote(out, group, row);
            read_claim(out);
        });
}

void write_claim_row(app& it, const std::shared_ptr<service_link>& on,
                     const core::group_id& group,
                     const takeover::write_claim& what,
                     takeover_handler handler)
{
    detail::write(it, on, detail::claim_row(group, what.row),
                  what.expected_version, std::move(handler));
}

void write_changed_row(app& it, const std::shared_ptr<service_link>& on,
                       const core::group_id& group, const takeover::claim& row,
                       std::uint64_t expected_version)
{
    detail::write(it, on, detail::claim_row(group, row), expected_version,
                  [](const takeover::event&) {});
}

void write_vote_row(app& it, const std::shared_ptr<service_link>& on,
                    const core::group_id& group,
                    const takeover::write_vote& what, takeover_handler handler)
{
    platform::row row;
    row.table = detail::vote_table;
    row.key = detail::vote_prefix(group) + it.settings.name.value;
    row.value = takeover::encode(what.row);
    detail::write(it, on, row, std::nullopt, std::move(handler));
}

void watch_claims(app& it, claim_handlers on)
{
    follow_table(it, detail::claim_table, detail::claim_times,
                 [on = std::move(on)](const platform::row_page& page, bool)
                 { detail::pass_on(page, on); });
}

void read_claims(app& it, const std::shared_ptr<service_link>& from,
                 claim_handlers on, std::function<void()> done)
{
    read_table(it, from, detail::claim_table, {}, detail::store_limit,
               [on = std::move(on), done = std::move(done)](
                   const core::result<platform::row_page>& got)
               {
                   if (ok(got))
                       detail::pass_on(std::get<platform::row_page>(got), on);
                   done();
               });
}

}  // namespace godwitbarrow::proxy::pooled
