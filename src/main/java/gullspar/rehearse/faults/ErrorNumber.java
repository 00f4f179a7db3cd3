package gullspar.rehearse.faults;

/** Errors of system calls, with their numbers on Linux. */
public enum ErrorNumber {
    EINTR(4),
    EIO(5),
    ENOMEM(12),
    EACCES(13),
    ENFILE(23),
    EMFILE(24),
    ENOSPC(28),
    EPIPE(32),
    ECONNABORTED(103),
    ENETUNREACH(101),
    ENOBUFS(105);

    final int number;

    ErrorNumber(int number) {
        this.number = number;
    }
}
