#!/bin/sh
# Runs a case, given the number of its folder and its class. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run; the record is written then too, and the processes that the case started are ended.
cd "$(dirname "$0")/../.." || exit 2
record=review/$1/record.txt
could_not_run() {
    echo "COULD NOT RUN: $1" | tee -a "$record"
    exit 2
}
: > "$record" || exit 2
[ -f target/gullspar.jar ] || could_not_run "the build of the deploy file is missing"
[ -f "target/review/$2.class" ] || could_not_run "review/build.sh has not been run"
java -Xmx512m -cp target/review "$2" "$record" &
pid=$!
trap 'kill "$pid" 2> /dev/null' TERM INT HUP
wait "$pid"
code=$?
if kill -0 "$pid" 2> /dev/null; then
    wait "$pid" # a signal ended the first wait; the program ends what it started
    code=$?
fi
case $code in # the runtime's own code for a failed start is 1
    0) exit 0 ;;
    3) exit 1 ;;
    2) exit 2 ;;
    *) could_not_run "the program ended with code $code" ;;
esac
