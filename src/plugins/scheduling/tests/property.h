#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

namespace mjm::test {

/// Checks a property with a fixed seed, so that failures are reproducible.
template <typename Property>
void check_property(const std::string& name, const Property& property)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=200", 1);
    CHECK(rc::check(name, property));
}

} // namespace mjm::test
