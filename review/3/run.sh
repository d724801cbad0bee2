#!/usr/bin/env bash
# An idle worker crashes and is back 0.5 s later under the id that it had.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
exec bash "$(dirname "$0")/../play.sh" restarted-worker 3 "$(dirname "$0")"
