#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec java -Xmx256m -cp target/review review.EndlessAnswer "$PWD" "$PWD/review/1"
