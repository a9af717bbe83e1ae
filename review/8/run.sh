#!/usr/bin/env bash
# A request that crashes its workers comes again, and they start again under their ids. TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../second/run-case.sh" 8 CrashingRequest same-id "${TROUBLE:-1}"
