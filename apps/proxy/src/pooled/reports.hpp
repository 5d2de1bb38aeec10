#pragma once

#include "app.hpp"

/// Log lines and metrics of the decisions.
namespace godwitbarrow::proxy::pooled
{

void report(app& it, const pooler::decision_note& what);
void report(app& it, const pooler::statement_ended& what);

}  // namespace godwitbarrow::proxy::pooled
