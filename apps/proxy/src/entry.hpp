#pragma once

#include "app.hpp"

/// The path of a request at the host that its caller is connected to.
namespace godwitbarrow::proxy
{

/// Completes the request from the settings, tries the candidate servers until
/// one answers or the deadline passes, and answers the caller once.
void handle_request(app& it, gateway::parsed_request what,
                    gateway::responder respond);

}  // namespace godwitbarrow::proxy
