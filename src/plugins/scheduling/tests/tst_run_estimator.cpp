#include "scheduling/run_estimator.h"

#include <catch2/catch.hpp>
