#include "godwitbarrow/serving/decide.hpp"
