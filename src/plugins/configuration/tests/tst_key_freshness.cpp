#include "configuration/config_progress.h"
#include "configuration/key_freshness.h"

#include <catch2/catch.hpp>

using namespace mjm;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const timestamp start{std::chrono::hours{1}};
const host_id a{"a"};
const host_id b{"b"};
const host_id c{"c"};

key_freshness three_hosts()
{
    key_freshness freshness{key_freshness_settings{}};
    freshness.set_committers({{a, zone_id{"z1"}}, {b, zone_id{"z2"}}, {c, zone_id{"z2"}}}, a);
    freshness.set_version(5);
    freshness.confirmed_at(start);
    return freshness;
}

} // namespace

TEST_CASE(
    "a host without access to the store and its peers refuses keyed work 4 s after its last confirmation")
{
    key_freshness f = three_hosts();
    f.set_self_unreachable(true);
    CHECK(f.policy(start + milliseconds{2999}) == key_policy::fresh);
    CHECK(f.policy(start + milliseconds{3999}) == key_policy::grace);
    CHECK(f.policy(start + seconds{4}) == key_policy::refusing);
    CHECK(key_freshness{key_freshness_settings{}}.policy(start) == key_policy::refusing);
}

TEST_CASE("a store outage is confirmed only by promises of all committers")
{
    key_freshness f = three_hosts();
    f.set_self_unreachable(true);
    f.store_unreachable_reported(b, start + seconds{9}, 5);
    // Host c in the same zone can still commit, so with one promise per zone a withdrawn key would be
    // accepted.
    CHECK(f.policy(start + seconds{10}) == key_policy::refusing);
    f.store_unreachable_reported(c, start + seconds{9}, 5);
    CHECK(f.policy(start + seconds{10}) == key_policy::outage_confirmed);
    CHECK(f.policy(start + seconds{12}) == key_policy::grace);
    CHECK(f.policy(start + seconds{16}) == key_policy::refusing);
}

TEST_CASE("the promise of a host that has seen a newer version does not count")
{
    key_freshness f = three_hosts();
    f.set_self_unreachable(true);
    f.store_unreachable_reported(b, start + seconds{9}, 6);
    f.store_unreachable_reported(c, start + seconds{9}, 5);
    CHECK(f.policy(start + seconds{10}) == key_policy::refusing);
    f.set_version(6);
    CHECK(f.policy(start + seconds{10}) == key_policy::outage_confirmed);
}

TEST_CASE("keyed work is not refused between the end of an outage and the next read of the store")
{
    key_freshness f = three_hosts();
    f.set_self_unreachable(true);
    f.store_unreachable_reported(b, start + seconds{9}, 5);
    f.store_unreachable_reported(c, start + seconds{9}, 5);
    f.store_reachable_reported(b);
    CHECK(f.policy(start + seconds{10}) == key_policy::grace);
    CHECK(f.policy(start + seconds{16}) == key_policy::refusing);
}

TEST_CASE("a host whose own commit has an unknown effect does not rely on the promises of others")
{
    key_freshness f = three_hosts();
    f.set_self_unreachable(true);
    f.store_unreachable_reported(b, start + seconds{9}, 5);
    f.store_unreachable_reported(c, start + seconds{9}, 5);
    f.set_commit_outstanding(start + seconds{10});
    CHECK(f.policy(start + seconds{11}) == key_policy::grace);
    f.store_unreachable_reported(b, start + seconds{12}, 5);
    f.store_unreachable_reported(c, start + seconds{12}, 5);
    CHECK(f.policy(start + seconds{14}) == key_policy::refusing);
}

TEST_CASE("a version counts as in force everywhere only once no member can work under an older one")
{
    config_progress p{config_progress_settings{}};
    p.observe({{a, 1}, {b, 1}, {c, 1}}, start);
    p.committed(2, start);
    p.observe({{a, 2}, {b, 2}}, start + seconds{1}); // The record of c has expired, but c may still run.
    const version_progress early = p.progress(2, start + seconds{1});
    CHECK(early.live_members_reached);
    CHECK_FALSE(early.in_force_everywhere);
    CHECK(early.silent == std::vector<host_id>{c});
    CHECK_FALSE(p.progress(2, start + milliseconds{4999}).in_force_everywhere);
    CHECK(p.progress(2, start + seconds{5}).in_force_everywhere);
    CHECK_FALSE(p.progress(3, start + seconds{60}).in_force_everywhere); // Version 3 is not committed.
}
