#!/bin/sh
# Builds the stand-ins and clients that the scripts review/6 to review/10 start; needs only the JDK.
# The programs of the project come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/src-2/*.java
