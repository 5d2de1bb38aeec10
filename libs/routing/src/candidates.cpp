#include "godwitbarrow/routing/candidates.hpp"
