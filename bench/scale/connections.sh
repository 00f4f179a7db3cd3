#!/bin/sh
# Counts the connections of one proxy in virtual time (see ConnectionCount), into results/connections.json.
# usage: bench/scale/connections.sh       (two minutes)
set -eu
cd "$(dirname "$0")/../.."
. bench/scale/common.sh
# Counts only: nothing here is timed, so the quickest compiler will do.
flags="-XX:+UseSerialGC"
measure gullspar.capacity.ConnectionCount bench/scale/results/connections.json
