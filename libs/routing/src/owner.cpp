#include "godwitbarrow/routing/owner.hpp"
