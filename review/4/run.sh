#!/usr/bin/env bash
# Kills the process that gives the orders shortly before 600 short tasks of one worker end.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
exec bash "$(dirname "$0")/../play.sh" many-ends 3 "$(dirname "$0")"
