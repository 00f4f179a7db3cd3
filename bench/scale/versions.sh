#!/bin/sh
# Measures the distribution of configuration versions: three control processes and real proxies run as processes, hollow
# followers in one more, and every connection goes through a relay that delays by 40 ms and loses 2 segments in 100 (see
# docs/versions-design.md).
# usage: versions.sh [small|full|routes] [SEED]
#   small   two sizes of a few followers and 6 changes, to check that it works. Writes target/versions-small.json
#   full    the default, a quarter of an hour or more. Writes bench/scale/results/versions.json
#   routes  only the second half of full, the sweep over routes. Writes bench/scale/results/versions-routes.json
set -eu
cd "$(dirname "$0")/../.."
mode=${1:-full}
seed=${2:-1}
case $seed in ''|*[!0-9]*) echo "versions.sh: the seed is not a number: '$seed'" >&2; exit 2 ;; esac
case $mode in
    full) sizes=40,160,640 real=8 changes=100 routes=24 large=24,240,2400 few=8 row=10 need=6 out=bench/scale/results/versions.json ;;
    routes) sizes='' real=2 changes=0 routes=0 large=24,240,2400 few=8 row=10 need=3
        out=bench/scale/results/versions-routes.json ;;
    small) sizes=4,8 real=1 changes=6 routes=24 large=24,48 few=2 row=3 need=2 out=target/versions-small.json ;;
    *) echo "versions.sh: unknown mode '$mode', expected small, full or routes" >&2; exit 2 ;;
esac
free=$(awk '/MemAvailable/ { print int($2 / 1048576) }' /proc/meminfo)
if [ "$free" -lt "$need" ]; then echo "versions.sh: too little memory: $need GiB needed, $free GiB available" >&2; exit 1; fi
if [ ! -d target/test-classes/gullspar/versions/scale ] || [ -n "${BUILD:-}" ]; then
    mvn -B -ntp -q test-compile
fi
mvn -B -ntp -q dependency:build-classpath -Dmdep.outputFile=target/versions.classpath -DincludeScope=test
commit=$(git rev-parse --short HEAD)
if [ -n "$(git status --porcelain src pom.xml)" ]; then commit="$commit+"; fi
folder=$(mktemp -d "${TMPDIR:-/tmp}/gullspar-versions.XXXXXX")
trap 'rm -rf "$folder"' EXIT
ulimit -n "$(ulimit -H -n)"
mkdir -p "$(dirname "$out")"
code=0
java -XX:+UseParallelGC -Xmx2g -Dio.netty.jfr.enabled=false \
    -cp "target/classes:target/test-classes:$(cat target/versions.classpath)" \
    gullspar.versions.scale.VersionsRun "$sizes" "$real" "$changes" "$routes" "$large" "$few" "$row" "$seed" \
    "$folder" "$commit" "$out" \
    || code=$?
if [ "$code" != 0 ]; then tail -n 3 "$folder"/*/*.log >&2 || true; fi
echo "$out"
exit "$code"
