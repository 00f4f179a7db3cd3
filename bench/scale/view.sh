#!/bin/sh
# Measures what the view of the fleet costs a member in virtual time (see ViewCost); writes
# bench/scale/results/view.json.
# usage: bench/scale/view.sh [SEEDS [SIZES [FILE]]]
# e.g. bench/scale/view.sh 1,2 40,160,320,640   FILE: adds further sizes to the results in it   (some minutes)
set -eu
cd "$(dirname "$0")/../.."
. bench/scale/common.sh
# Mostly counts: the default compilers, which are faster in the long run, replace the deployed options.
flags="-XX:+UseSerialGC"
measure gullspar.peers.ViewCost bench/scale/results/view.json "${1:-1,2}" "${2:-40,80,160,320,640}" ${3:+"$3"}
