#!/bin/sh
# Compares requests per second and latency of plain HTTP through routes and through the platform's protocol in one run
# of about two minutes.
# usage: bench/site/ratio.sh
set -eu
cd "$(dirname "$0")/../.."
mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/test-classpath
exec java -XX:+UseSerialGC -Xmx512m -Dio.netty.jfr.enabled=false \
    -cp "target/test-classes:target/classes:$(cat target/test-classpath)" gullspar.proxy.RatioBenchmark
