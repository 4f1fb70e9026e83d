// Holds Catch2's main for every test program.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
