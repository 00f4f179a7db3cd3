package gullspar.rehearse.faults;

/** The system calls that can be made to fail, in the order of {@code enum call} in system-calls.c. */
public enum SystemCall {
    SOCKET,
    ACCEPT,
    CONNECT,
    BIND,
    LISTEN,
    /** A write to standard error. */
    WRITE_LOG
}
