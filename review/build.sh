#!/bin/sh
# Compiles the stand-ins and the scripts' programs into target/review. Needs the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/src/*.java
