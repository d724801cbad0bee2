#!/usr/bin/env bash
# Cuts the zone of the machine that gives the orders off from the others and from the platform, twice for 5 s.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
exec bash "$(dirname "$0")/../play.sh" zone-cut 3 "$(dirname "$0")"
