#include "primary_confirmation.hpp"

#include "member_question.hpp"
#include "takeovers.hpp"

namespace godwitbarrow::proxy::pooled
{
namespace detail
{
namespace
{

constexpr std::chrono::milliseconds question_limit{300};

/// A replica that is paused may be about to get another primary.
bool is_receiving(const takeover::member_report& it)
{
    return it.role == core::member_role::replica && it.paused_at == 0;
}

}  // namespace
}  // namespace detail

void confirm(app& it, const pooler::confirm_primary& what)
{
    const auto began = core::runtime_clock::now();
    ask_member(it, what.ask, {}, detail::question_limit,
               [&it, group = what.ask.group, server = what.ask.server,
                began](const std::optional<takeover::member_report>& r)
               {
                   if (r && detail::is_receiving(*r))
                       handle(it, pooler::replica_answered{group, server, began,
                                                           r->received});
               });
    if (what.read_claims)
        read_claims(it);
}

}  // namespace godwitbarrow::proxy::pooled
