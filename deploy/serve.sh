#!/bin/sh
# Starts one real proxy. The heap follows the limit on memory in NODE_CONFIG: what the runtime needs beside it,
# measured, is about 56 MB. It is touched at the start, so that memory does not seem to grow in service.
# While a proxy starts, the others carry its load. Most of a start is code that still runs in the interpreter, so
# it is compiled sooner than by default.
set -eu
# Starts no other program and forks nothing, since the platform may refuse both: the figure is read by the shell itself,
# from the first line that names it.
mb=
if [ -r "${NODE_CONFIG:-}" ]; then
    while [ -z "$mb" ] && { read -r line || [ -n "$line" ]; }; do
        case $line in *'"memory_mb"'*[0-9]*) ;; *) continue ;; esac
        rest=${line#*\"memory_mb\"}
        rest=${rest#"${rest%%[0-9]*}"}
        mb=${rest%%[!0-9]*}
    done < "$NODE_CONFIG"
fi
# Where another process may take over, the two share the limit for a while.
if [ -n "${NODE_SOCKET_FD:-}" ]; then mb=$(( ${mb:-128} / 2 )); fi
heap=$(( (${mb:-128} - 56) * 2 / 3 ))
if [ "$heap" -gt 64 ]; then heap=64; fi
if [ "$heap" -lt 16 ]; then heap=16; fi
export MALLOC_ARENA_MAX=2
# The runtime does not look at TMPDIR, and no other folder may be written to.
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=0.4 -Xshare:auto \
    -Djava.io.tmpdir="${TMPDIR:-/tmp}" -XX:SharedArchiveFile=target/gullspar.jsa -XX:-UsePerfData -XX:+AlwaysPreTouch \
    -Xms${heap}m -Xmx${heap}m -Xmn$((heap * 2 / 5))m -Xss512k \
    -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=20m -XX:MaxDirectMemorySize=16m \
    -jar target/gullspar.jar "${1:-serve}"
