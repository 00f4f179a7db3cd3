#!/bin/sh
# Measures a change of an operators' file in one real process (see ReloadTime), into results/reload.json.
# usage: bench/scale/reload.sh       (some minutes)
set -eu
cd "$(dirname "$0")/../.."
. bench/scale/common.sh
# 64 MB, the most that deploy/serve.sh gives, is too little for 2,400 routes with their servers.
measure gullspar.capacity.ReloadTime bench/scale/results/reload.json "$flags" \
    "-Xms160m -Xmx160m -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=20m -XX:MaxDirectMemorySize=16m"
