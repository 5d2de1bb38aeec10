#include "godwitbarrow/admission/queue.hpp"
