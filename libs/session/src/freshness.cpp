#include "godwitbarrow/session/freshness.hpp"
