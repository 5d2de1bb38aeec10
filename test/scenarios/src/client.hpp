#pragma once

#include <map>
#include <string>

#include "cluster.hpp"
#include "oracle.hpp"

namespace scenario
{

/// Fields of an answer as text: outcome, error, rows, server, term, position,
/// elapsed_ms.
using answer_fields = std::map<std::string, std::string>;

/// What a session carries from one request to the next.
struct session
{
    std::string token;
    std::string transaction;
};

/// Sends one request and updates the session. A connection without a whole
/// answer gives the outcome "unknown", as the caller cannot tell more; a
/// refused connection gives "not_run".
answer_fields send_request(const cluster& to, const core::host_id& via,
                           session& of,
                           const std::map<std::string, std::string>& options);

told outcome_of(const answer_fields& it);

}  // namespace scenario
