#!/bin/sh
# Measures what lists, settings and operators' files cost one proxy (see ControlCost), and writes results/NAME.json.
# usage: bench/scale/control.sh lists|tenants|routes       (a minute each)
set -eu
cd "$(dirname "$0")/../.."
. bench/scale/common.sh
measure gullspar.capacity.ControlCost "bench/scale/results/$1.json" "$1"
