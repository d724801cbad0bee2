#include "scheduling/retry_budget.h"

#include <catch2/catch.hpp>
