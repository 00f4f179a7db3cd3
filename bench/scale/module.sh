#!/bin/sh
# Measures the decision module alone (see ModuleCost), and writes results/module.json.
# usage: bench/scale/module.sh       (a minute)
set -eu
cd "$(dirname "$0")/../.."
. bench/scale/common.sh
measure gullspar.capacity.ModuleCost bench/scale/results/module.json
