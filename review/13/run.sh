#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0: without the trouble.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-3/review_case ] && [ -x target/bin/mjm_platform_entry ] || exit 2
exec build/review-3/review_case cordoned_machine review/13/record.txt "${TROUBLE:-1}"
