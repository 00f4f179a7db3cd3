#!/bin/sh
# Scale runs: real proxies as deployed, with traffic, beside hollow ones (the daemon's own code over real loopback
# sockets, many in one process, without clients), before a stand-in for discovery. Measured are processor time by the
# system's accounts, messages and bytes by kind, memory, time until all know, latency added in an open loop, and faults.
# How to read what it writes: docs/scale.md.
#
# usage: bench/scale/run.sh [small|full] [--port N] [--memory-mb N] [--out FILE]
#   small         the usual: everything once at small sizes, under 40 s after the build; it shows that all works, its
#                 figures are none. Writes target/scale-small.json
#   full          the sweeps, under 12 minutes. Writes bench/scale/results/scale-full.json
#   --port N      where the stand-in for discovery listens first (any free port)
#   --memory-mb N what all processes may hold together (6000; 600 to 12000)
#   --out FILE    where the results go
#
# Limits: 200 processes, the memory above, and time (small 2 minutes, full 14). Whatever ends a run, all processes that
# it started end with it, by their ids; each is named with its id as it starts.
# Exit codes: 0 done; 1 something else failed, said in one line, as are all but 0; 2 bad arguments; 3 too little memory;
# 4 a port is taken; 5 a process that it started has died; 6 a count is not what it must be, or not all came to know a
# change; 7 not done in time.
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
