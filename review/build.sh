#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of the cases. Needs only the JDK 17 that the project needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all,-serial -d target/review review/*.java
