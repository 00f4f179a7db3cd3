#!/bin/sh
# JMH: routing among 10, 1,000 and 10,000 routes; a datagram of the view of the fleet. About four minutes.
# usage: benchmarks/run.sh [JMH OPTION...]
set -eu
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests package
mvn -B -ntp -q -f benchmarks/pom.xml compile dependency:build-classpath \
    -Dmdep.outputFile=target/classpath
exec java -cp "benchmarks/target/classes:$(cat benchmarks/target/classpath)" org.openjdk.jmh.Main "$@"
