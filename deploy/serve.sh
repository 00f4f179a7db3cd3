#!/bin/sh
# Starts one proxy process. The heap size is derived from the memory limit in NODE_CONFIG; the runtime needs about 56 MB
# besides the heap. The heap is touched at the start, so that memory use does not seem to grow in service. While a proxy
# starts, the others carry its load. Most of the start is spent in interpreted code, so compilation begins earlier than
# by default.
set -eu
# The platform may refuse to fork or to start other programs, so the shell itself reads the limit. It splits lines at
# their quotes, which takes time in proportion to their length: the configuration may be one line of a megabyte, and the
# keys of a JSON object may have any order.
mb=
first= # the first number of that name, whatever object it is in; used if "limits" has none
is_in_limits=
key= # the key, of those that matter, whose value is being read
after_key=

# Handles what follows a key, up to the next quote or line.
read_value() {
    after_key=$after_key$1
    case $after_key in *[!:[:space:]]*) ;; *) return ;; esac
    case ${after_key%%:*} in *[![:space:]]*) key= ;; esac # it was a value, not a key
    case $key$after_key in
        limits*'{'*'}'*) ;;
        limits*'{'*) is_in_limits=1 ;;
        memory_mb*[0-9]*)
            value=${after_key#"${after_key%%[0-9]*}"}
            value=${value%%[!0-9]*}
            first=${first:-$value}
            if [ -n "$is_in_limits" ]; then mb=$value; fi
            ;;
    esac
    key=
}

read_memory_limit() {
    set -f
    while [ -z "$mb" ] && { IFS= read -r line || [ -n "$line" ]; }; do
        IFS='"'
        for word in $line; do
            if [ -n "$key" ]; then
                read_value "$word"
                if [ -n "$mb" ]; then return; fi
            fi
            case $word in
                limits | memory_mb) key=$word after_key= ;;
                *'}'*) is_in_limits= ;;
            esac
        done
        unset IFS
    done
}

if [ -r "${NODE_CONFIG:-}" ]; then read_memory_limit < "$NODE_CONFIG"; fi
unset IFS
mb=${mb:-$first}
# If another process may take over the socket, both processes share the limit for a while.
if [ -n "${NODE_SOCKET_FD:-}" ]; then mb=$(( ${mb:-128} / 2 )); fi
heap=$(( (${mb:-128} - 56) * 2 / 3 ))
if [ "$heap" -gt 64 ]; then heap=64; fi
if [ "$heap" -lt 16 ]; then heap=16; fi
# What is held under load has to fit into the old generation: if not, most collections are full ones.
young=$((heap * 2 / 5))
if [ "$heap" -lt 32 ]; then young=$((heap / 8)); fi
export MALLOC_ARENA_MAX=2
# The runtime ignores TMPDIR, and no other folder is writable.
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=0.4 -Xshare:auto \
    -Djava.io.tmpdir="${TMPDIR:-/tmp}" -XX:SharedArchiveFile=target/gullspar.jsa -XX:-UsePerfData -XX:+AlwaysPreTouch \
    -Xms${heap}m -Xmx${heap}m -Xmn${young}m -Xss512k \
    -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=20m -XX:MaxDirectMemorySize=16m \
    -Djdk.nio.maxCachedBufferSize=65536 \
    -jar target/gullspar.jar "${1:-serve}"
