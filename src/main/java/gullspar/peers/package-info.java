/**
 * Membership of the fleet: the view that each process keeps by exchanging messages with the others, after SWIM (Das,
 * Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
 * DSN 2002) and Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
 * Accurate Failure Detection", DSN-W 2018). A state machine: time, datagrams and random numbers are
 * inputs, datagrams and changes of the view are outputs; there is no I/O, clock or thread here. Times are monotonic,
 * in ns from any origin. {@code docs/fleet-design.md} gives the reasons of the design.
 */
package gullspar.peers;
