#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -Xlint:all,-serial -d target/review-3 review/standins-3/review3/*.java
