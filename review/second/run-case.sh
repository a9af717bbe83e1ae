#!/usr/bin/env bash
# Runs the driver of a case: run-case.sh CASE DRIVER [ARGUMENT...]. Exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
case=$1 driver=$2
shift 2
if [ ! -f target/fuchsiaford-entry.jar ] || [ ! -f "review/second/target/$driver.class" ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
java -Djava.util.logging.manager=org.jboss.logmanager.LogManager \
  -cp review/second/target:target/fuchsiaford-entry.jar "$driver" "review/$case/record.txt" "$@"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
