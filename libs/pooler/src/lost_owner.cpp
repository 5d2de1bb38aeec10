#include "godwitbarrow/pooler/lost_owner.hpp"

#include <algorithm>

namespace godwitbarrow::pooler
{
namespace detail
{
namespace
{

/// Whether the statement can keep something. Which prepared statements write
/// is known to the owner only.
bool may_commit(verb kind, bool in_transaction)
{
    if (kind == verb::commit)
        return true;
    return !in_transaction && (kind == verb::write || kind == verb::execute);
}

bool ends_transaction(verb kind)
{
    return kind == verb::commit || kind == verb::rollback;
}

bool any_may_commit(const std::vector<outstanding_statement>& all,
                    bool in_transaction)
{
    for (const auto& it : all)
    {
        if (may_commit(it.kind, in_transaction))
            return true;
        // A begin that is outstanding, too, may have been refused.
        in_transaction = in_transaction && !ends_transaction(it.kind);
    }
    return false;
}

}  // namespace
}  // namespace detail

std::vector<answer> answer_without_owner(
    const std::vector<outstanding_statement>& all, bool in_transaction,
    const std::string& reason)
{
    const auto code = detail::any_may_commit(all, in_transaction)
                          ? failure_code::in_doubt
                          : failure_code::aborted;
    std::vector<answer> out;
    out.reserve(all.size());
    for (const auto& it : all)
    {
        in_transaction = in_transaction && !detail::ends_transaction(it.kind);
        answer a;
        a.result = failure{code, reason};
        a.state = in_transaction ? session_state::failed_transaction
                                 : session_state::idle;
        out.push_back(std::move(a));
    }
    return out;
}

}  // namespace godwitbarrow::pooler
