#include "godwitbarrow/serving/state.hpp"
