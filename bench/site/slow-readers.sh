#!/bin/sh
# Measures the memory of a proxy process with 64 MB of heap while 100 clients read slowly and one reads 1 GB; half a
# minute.
# usage: bench/site/slow-readers.sh
set -eu
cd "$(dirname "$0")/../.."
mvn -B -ntp -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test-classpath
exec java -cp "target/test-classes:target/classes:$(cat target/test-classpath)" gullspar.site.SlowReaders
