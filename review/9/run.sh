#!/bin/sh
# DRAIN: an engine that was removed before an outage of the store gets orders long after it.
# TROUBLE=0: the same without the disruption. Exit code 1: broken, 0: held, 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/shallotplank.jar ] && [ -f target/review-2/DrainCase.class ] || exit 2
exec java -Xmx256m -cp target/review-2 DrainCase review/9/record.txt
