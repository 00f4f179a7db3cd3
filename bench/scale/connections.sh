#!/bin/sh
# Counts the connections of one proxy in virtual time (see ConnectionCount), and writes results/connections.json.
# usage: bench/scale/connections.sh       (two minutes)
set -eu
cd "$(dirname "$0")/../.."
. bench/scale/common.sh
# Nothing is timed here, so the default compilers, which are faster in the long run, replace the deployed options.
flags="-XX:+UseSerialGC"
measure gullspar.capacity.ConnectionCount bench/scale/results/connections.json
