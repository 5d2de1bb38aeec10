#include "godwitbarrow/admission/pool.hpp"
