#include "scheduling/placement.h"

#include <catch2/catch.hpp>
