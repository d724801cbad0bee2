#!/usr/bin/env bash
# The host service is silent for 5 s, and the worker whose upkeep was ordered meanwhile crashes.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
exec bash "$(dirname "$0")/../play.sh" unheard-upkeep 3 "$(dirname "$0")"
