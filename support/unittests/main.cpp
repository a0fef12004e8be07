#define BOOST_TEST_MODULE support
#include <boost/test/unit_test.hpp>
