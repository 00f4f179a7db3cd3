/**
 * Configuration distributed as versions: a few control processes send the versions of one document to all proxies,
 * as deltas or snapshots, each verified by its checksum. This package has only the decision logic: time, messages
 * and random numbers are inputs, messages and documents are outputs; there is no I/O, clock or thread. Times are in
 * ns of a monotonic clock with an arbitrary origin. The reasons for the design are in
 * {@code docs/versions-design.md}.
 */
package gullspar.versions;
