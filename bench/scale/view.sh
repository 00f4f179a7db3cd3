#!/bin/sh
# Counts what the view of the fleet costs a member, in virtual time (see ViewCost), into bench/scale/results/view.json.
# usage: bench/scale/view.sh [SEEDS [SIZES [FILE]]]
# as in: bench/scale/view.sh 1,2 40,160,320,640   FILE: further sizes beside what it holds   (some minutes)
set -eu
cd "$(dirname "$0")/../.."
. bench/scale/common.sh
# Counts only: nothing here is timed, so the quickest compiler will do.
flags="-XX:+UseSerialGC"
measure gullspar.peers.ViewCost bench/scale/results/view.json "${1:-1,2}" "${2:-40,80,160,320,640}" ${3:+"$3"}
