/**
 * Configuration that travels as versions: one document, whose versions go from a few control processes to
 * all proxies as deltas or as a snapshot, each verified by its checksum. Decisions only: time, messages and
 * random numbers come in, messages and documents go out; there is no I/O, clock or thread here. Times are in
 * ns from any origin that never goes back. {@code docs/versions-design.md} says why it is as it is.
 */
package gullspar.versions;
