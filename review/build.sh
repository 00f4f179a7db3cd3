#!/bin/sh
# Builds the stand-ins and the cases of this folder into target/review; needs only a JDK 17. Run after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all,-try -Werror -d target/review review/kit/*.java review/[1-9]/*.java
