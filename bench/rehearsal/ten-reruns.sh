#!/bin/sh
# Runs one script and seed ten times, each in its own JVM with a different heap, collector, compiler, locale or time
# zone, and once with another seed; prints the duration and the hash of each run.
# usage: bench/rehearsal/ten-reruns.sh [SCRIPT]
set -eu
cd "$(dirname "$0")/../.."
script=${1:-examples/rehearsals/neighbour.toml}
./gullspar --version > /dev/null
began=$(date +%s)
play() {
    from=$(date +%s%N)
    hash=$(java "$@" -jar target/gullspar.jar rehearse "$script" | sed 's/.*sha256 //')
    echo "$(( ($(date +%s%N) - from) / 1000000 )) ms  $hash  $*"
}
play -Xmx64m -XX:+UseSerialGC
play -Xmx96m
play -Xmx256m -XX:+UseParallelGC
play -Xmx1g -XX:+UseG1GC
play -Xmx4g
play -XX:TieredStopAtLevel=1
play -Duser.language=tr -Duser.country=TR
play -Duser.timezone=Asia/Kathmandu
play -Xss2m -XX:+UnlockExperimentalVMOptions -XX:hashCode=2
play -Xint
echo "all ten: $(( $(date +%s) - began )) s"
echo "another seed:"
java -jar target/gullspar.jar rehearse "$script" --seed 2
