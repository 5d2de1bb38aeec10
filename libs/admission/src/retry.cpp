#include "godwitbarrow/admission/retry.hpp"
