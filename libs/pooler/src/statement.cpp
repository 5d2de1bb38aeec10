#include "godwitbarrow/pooler/statement.hpp"

namespace godwitbarrow::pooler
{

std::string_view to_string(failure_code it)
{
    switch (it)
    {
        case failure_code::busy:
            return "busy";
        case failure_code::lagging:
            return "lagging";
        case failure_code::read_only:
            return "read_only";
        case failure_code::misrouted:
            return "misrouted";
        case failure_code::too_many_connections:
            return "too_many_connections";
        case failure_code::failed:
            return "failed";
        case failure_code::timed_out:
            return "timed_out";
        case failure_code::unknown_statement:
            return "unknown_statement";
        case failure_code::unknown_database:
            return "unknown_database";
        case failure_code::not_admitted:
            return "not_admitted";
        case failure_code::over_quota:
            return "over_quota";
        case failure_code::malformed:
            return "malformed";
        case failure_code::too_large:
            return "too_large";
        case failure_code::aborted:
            return "aborted";
        case failure_code::in_doubt:
            return "in_doubt";
    }
    return "failed";
}

}  // namespace godwitbarrow::pooler
