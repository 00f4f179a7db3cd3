#!/bin/sh
# Counts what all proxies together send to cold backends, in virtual time (see ColdCount), into results/cold.json.
# usage: bench/scale/cold.sh       (two minutes)
set -eu
cd "$(dirname "$0")/../.."
. bench/scale/common.sh
# Counts only: nothing here is timed, so the quickest compiler will do.
flags="-XX:+UseSerialGC"
measure gullspar.capacity.ColdCount bench/scale/results/cold.json
