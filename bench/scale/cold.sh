#!/bin/sh
# Counts the requests that all proxies together send to cold backends, in virtual time (see ColdCount), and writes
# results/cold.json.
# usage: bench/scale/cold.sh       (two minutes)
set -eu
cd "$(dirname "$0")/../.."
. bench/scale/common.sh
# Nothing is timed here, so the default compilers, which are faster in the long run, replace the deployed options.
flags="-XX:+UseSerialGC"
measure gullspar.capacity.ColdCount bench/scale/results/cold.json
