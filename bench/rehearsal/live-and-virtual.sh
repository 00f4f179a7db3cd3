#!/bin/sh
# Runs the four fault scripts once in virtual time and five times live, the four at the same time, and prints the share
# of the worth that was served. Takes about six minutes and eight cores.
# usage: bench/rehearsal/live-and-virtual.sh DIR     (results are written to DIR)
set -eu
cd "$(dirname "$0")/../.."
out=$1
mkdir -p "$out"
./gullspar --version > /dev/null
four() {
    for name in neighbour rush heavy shrink; do
        java -jar "${GULLSPAR_JAR:-target/gullspar.jar}" rehearse "examples/rehearsals/$name.toml" --json "$@" \
            > "$out/$name.$round.json" 2> "$out/$name.$round.err" &
    done
    wait
}
round=virtual
four
for round in 1 2 3 4 5; do
    four --live
done
for f in "$out"/*.json; do
    printf '%s ' "$(basename "$f" .json)"
    sed 's/.*"service":\([0-9.]*\),"worst_10s":\([0-9.]*\).*"kept":\([a-z]*\).*"notes":\(.*\)}/service \1 worst \2 kept \3 \4/' "$f"
done
