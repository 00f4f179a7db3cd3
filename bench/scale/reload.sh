#!/bin/sh
# Measures reloads of an operators' file in one real process (see ReloadTime), and writes results/reload.json.
# usage: bench/scale/reload.sh       (some minutes)
set -eu
cd "$(dirname "$0")/../.."
. bench/scale/common.sh
# The heap is larger than the 64 MB limit of deploy/serve.sh, which is too small for 2,400 routes with their servers.
measure gullspar.capacity.ReloadTime bench/scale/results/reload.json "$flags" \
    "-Xms160m -Xmx160m -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=20m -XX:MaxDirectMemorySize=16m"
