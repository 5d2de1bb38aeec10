#pragma once

#include <string>

#include "app.hpp"

/// Large contents that hosts fetch from each other in chunks, so that what they
/// tell each other besides never waits long behind them. All functions but
/// `exchange_contents` run on the strand of `app::hosts`.
namespace godwitbarrow::proxy::pooled
{

/// Called before `start_mesh`.
void exchange_contents(app& it);

void add_content(app& it, const std::string& name, content_kind kind);

/// Tells a host that this one has the revision. The host asks for it if it has
/// an older one.
void offer_content(app& it, const core::host_id& to, const std::string& name,
                   const transfer::revision& at);

/// Fetches the content from this host, which has the revision, or from another.
void fetch_content(app& it, const std::string& name, const core::host_id& from,
                   const transfer::revision& at);

bool lacks_content(const app& it, const std::string& name,
                   const transfer::revision& at);

/// Ends the fetch of what this host no longer lacks.
void forget_satisfied(app& it, const std::string& name);

}  // namespace godwitbarrow::proxy::pooled
