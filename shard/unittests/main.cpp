/// \file
/// Entry point of the shard package's unit tests.
#define BOOST_TEST_MODULE shard
#include <boost/test/unit_test.hpp>
