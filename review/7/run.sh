#!/usr/bin/env bash
# A tenant sends many times its usual where the hosts are cut off from all workers. TROUBLE=0 leaves the cut out.
exec bash "$(dirname "$0")/../second/run-case.sh" 7 LateRefunds "${TROUBLE:-1}"
