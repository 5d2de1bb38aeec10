#define BOOST_TEST_MODULE godwitbarrow
#include <boost/test/unit_test.hpp>
