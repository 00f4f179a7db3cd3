package gullspar.rehearse.faults;

/** The calls that can be made to fail, in the order of system-calls.c. */
public enum SystemCall {
    SOCKET,
    ACCEPT,
    CONNECT,
    BIND,
    LISTEN,
    /** A write to standard error. */
    WRITE_LOG
}
