#include "scheduling/target_health.h"

#include <catch2/catch.hpp>
