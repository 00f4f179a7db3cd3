# For the scripts beside it: builds once, and starts a class of the tests with the deployed runtime's options.
flags="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=0.4 -Xss512k"

built() {
    mvn -B -ntp -q test-compile dependency:build-classpath -Dmdep.outputFile=target/test-classpath
}

# CLASS ARGUMENT...: HEAP (1500m) is the heap's limit, as JAVA_OPTIONS are further options.
measure() {
    built
    commit=$(git rev-parse --short HEAD)
    if ! git diff --quiet HEAD -- src/main; then commit="$commit+changes"; fi
    # shellcheck disable=SC2086
    java $flags -Xmx"${HEAP:-1500m}" ${JAVA_OPTIONS:-} -Dcommit="$commit" -Dflags="$flags" \
        -cp "target/test-classes:target/classes:$(cat target/test-classpath)" "$@"
}
