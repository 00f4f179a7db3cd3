#!/bin/sh
# Builds the stand-ins and the tests of the second review into target/review-2. Run it after the build of the deploy
# file; it needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
set -- review/kit-2/*.java
for source in review/6/src/*.java review/7/src/*.java review/8/src/*.java review/9/src/*.java review/10/src/*.java; do
    if [ -f "$source" ]; then set -- "$@" "$source"; fi
done
javac --release 17 -Xlint:all -Werror -encoding UTF-8 -d target/review-2 "$@"
