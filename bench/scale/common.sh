# Sourced by the other scripts in this folder: builds, and runs a test class with the deployed runtime's options.
flags="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=0.4 -Xss512k"

built() {
    mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/test-classpath
}

# measure CLASS ARGUMENT...: HEAP (default 1500m) is the heap limit, JAVA_OPTIONS are further options.
measure() {
    built
    commit=$(git rev-parse --short HEAD)
    if ! git diff --quiet HEAD -- src/main; then commit="$commit+changes"; fi
    # shellcheck disable=SC2086
    java $flags -Xmx"${HEAP:-1500m}" ${JAVA_OPTIONS:-} -Dcommit="$commit" -Dflags="$flags" \
        -cp "target/test-classes:target/classes:$(cat target/test-classpath)" "$@"
}
