#include "scheduling/fair_queue.h"

#include <catch2/catch.hpp>
