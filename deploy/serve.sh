#!/bin/sh
# Starts one proxy process. The heap size is derived from the memory limit in NODE_CONFIG; the runtime needs about 56 MB
# besides the heap. The heap is touched at the start, so that memory use does not seem to grow in service. While a proxy
# starts, the others carry its load. Most of the start is spent in interpreted code, so compilation begins earlier than
# by default.
set -eu
# The platform may refuse to fork or to start other programs, so the shell itself reads the limit, from the first line
# that has it.
mb=
if [ -r "${NODE_CONFIG:-}" ]; then
    while [ -z "$mb" ] && { read -r line || [ -n "$line" ]; }; do
        case $line in *'"memory_mb"'*[0-9]*) ;; *) continue ;; esac
        rest=${line#*\"memory_mb\"}
        rest=${rest#"${rest%%[0-9]*}"}
        mb=${rest%%[!0-9]*}
    done < "$NODE_CONFIG"
fi
# If another process may take over the socket, both processes share the limit for a while.
if [ -n "${NODE_SOCKET_FD:-}" ]; then mb=$(( ${mb:-128} / 2 )); fi
heap=$(( (${mb:-128} - 56) * 2 / 3 ))
if [ "$heap" -gt 64 ]; then heap=64; fi
if [ "$heap" -lt 16 ]; then heap=16; fi
export MALLOC_ARENA_MAX=2
# The runtime ignores TMPDIR, and no other folder is writable.
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=0.4 -Xshare:auto \
    -Djava.io.tmpdir="${TMPDIR:-/tmp}" -XX:SharedArchiveFile=target/gullspar.jsa -XX:-UsePerfData -XX:+AlwaysPreTouch \
    -Xms${heap}m -Xmx${heap}m -Xmn$((heap * 2 / 5))m -Xss512k \
    -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=20m -XX:MaxDirectMemorySize=16m \
    -Djdk.nio.maxCachedBufferSize=65536 \
    -jar target/gullspar.jar "${1:-serve}"
