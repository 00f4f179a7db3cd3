/**
 * Who else serves: a view of the fleet that each process keeps by talking to the others, after SWIM (Das,
 * Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
 * DSN 2002) and Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
 * Accurate Failure Detection", DSN-W 2018). A state machine: time, datagrams and random numbers come in,
 * datagrams and changes of the view go out; there is no I/O, clock or thread here. Times are in ns from any
 * origin that never goes back. {@code docs/fleet-design.md} says why it is as it is.
 */
package gullspar.peers;
