#!/bin/sh
# Measures the view of the fleet in virtual time (see FleetFigures) in some minutes. Its output is in docs/fleet.md.
# usage: bench/fleet/figures.sh [deaths|partitions|accusations ...]
set -eu
cd "$(dirname "$0")/../.."
mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/test-classpath
exec java -cp "target/test-classes:target/classes:$(cat target/test-classpath)" gullspar.peers.FleetFigures "$@"
