#include "godwitbarrow/session/reached.hpp"
