#!/bin/sh
# Searches 2,000 days with up to eight faults among 5, 12, 30 and 100 proxies for days that violate a rule; about 20
# minutes on 8 cores. Resumes an interrupted search; findings are written to DIR/SIZE.
# usage: bench/fleet/searched.sh DIR [JOBS [SIZE=DAYS ...]]
set -eu
cd "$(dirname "$0")/../.."
out=${1:?a folder for what is found}
jobs=${2:-$(getconf _NPROCESSORS_ONLN)}
[ $# -le 2 ] || shift 2
[ $# -gt 0 ] && [ "$1" != "$out" ] || set -- 5=900 12=700 30=300 100=100
mkdir -p "$out"
found=0
for play in "$@"; do
    size=${play%=*}
    sed "s/^count = 12\$/count = $size/" examples/rehearsals/hunt-peers.toml > "$out/$size.toml"
    echo "$size proxies:"
    ./gullspar rehearse search "$out/$size.toml" --seeds "${play#*=}" --jobs "$jobs" --out "$out/$size" || found=1
done
exit $found
