#!/usr/bin/env bash
# Compiles the drivers of cases 6 to 10 and the stand-ins that they start, against the program that
# the build of the deploy file has made. Needs no network.
set -eu
cd "$(dirname "$0")/.."
jar=target/fuchsiaford-entry.jar
[ -f "$jar" ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
standin=standin/src/main/java/org/fuchsiaford/standin
mkdir -p review/second/target
javac --release 17 -nowarn -d review/second/target -cp "$jar" \
  "$standin"/{FaultMode,Json,Standin}.java "$standin"/platform/PlatformStoreStandin.java \
  review/second/*.java
