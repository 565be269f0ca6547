#!/bin/sh
# BUDGET: after each restart of all gateways, a request that crashes engines crashes two more of them.
# TROUBLE=0: the same without the disruption. Exit code 1: broken, 0: held, 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/shallotplank.jar ] && [ -f target/review-2/PoisonCase.class ] || exit 2
exec java -Xmx256m -cp target/review-2 PoisonCase review/10/record.txt
