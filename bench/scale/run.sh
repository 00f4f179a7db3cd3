#!/bin/sh
# Scale runs: real proxies as deployed, with traffic, and hollow proxies (the daemon's own code over real loopback
# sockets, many to a process, without clients), with a stand-in for discovery. They measure processor time as accounted by
# the kernel, messages and bytes by kind, memory, the time until all proxies have a change, latency added in an open loop,
# and faults. docs/scale.md explains how to read the results.
#
# usage: bench/scale/run.sh [small|full] [--port N] [--memory-mb N] [--out FILE]
#   small         the default: runs everything once at small sizes, under 40 s after the build, to check that all works;
#                 its figures are not meaningful. Writes target/scale-small.json
#   full          the sweeps, under 12 minutes. Writes bench/scale/results/scale-full.json
#   --port N      port of the first listener of the discovery stand-in (any free port)
#   --memory-mb N limit on the memory of all processes together (6000; 600 to 12000)
#   --out FILE    where to write the results
#
# Limits: 200 processes, the memory above, and time (small 2 minutes, full 14). All processes that a run started end with
# it, however it ends, and are killed by their ids; each is printed with its id as it starts.
# Exit codes: 0 success; all others print a one-line error: 1 any other failure; 2 bad arguments; 3 too little memory;
# 4 a port is taken; 5 a process that the run started has died; 6 a count is wrong, or not all proxies received a change;
# 7 not finished in time.
set -eu
cd "$(dirname "$0")/../.."
case "${1:-small}" in small | full | --*) ;; *)
    echo "scale: unknown argument '$1'; usage: bench/scale/run.sh [small|full] [--port N] [--memory-mb N] [--out FILE]" >&2
    exit 2 ;;
esac
built=$(find src/main pom.xml deploy -newer target/gullspar.jsa 2> /dev/null | head -n 1 || true)
if [ ! -f target/gullspar.jsa ] || [ -n "$built" ]; then sh deploy/build.sh > /dev/null 2>&1; fi
mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/test-classpath > /dev/null
exec java -XX:+UseSerialGC -Xmx768m -Dgullspar.scale.deployed=true \
    -cp "target/test-classes:target/classes:$(cat target/test-classpath)" gullspar.scale.ScaleRun "$@"
