#include "godwitbarrow/session/reached.hpp"

namespace godwitbarrow::session
{

bool has_reached(const std::optional<core::log_position>& seen,
                 const core::member_status& status, core::member_role role,
                 core::term_number current_term)
{
    if (status.log_term != current_term)
        return false;
    if (!seen)
        return true;
    if (seen->term > current_term)
        return false;
    if (role == core::member_role::primary)
        return true;
    return status.position >= seen->position;
}

}  // namespace godwitbarrow::session
