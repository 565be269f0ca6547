#!/bin/sh
# Plays the case after the build of the deploy file and review/build-3.sh; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp target/review-3 review3.KeepersCase review/11 "${TROUBLE:-1}"
