#include "godwitbarrow/session/token.hpp"
