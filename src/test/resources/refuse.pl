# refuse.pl [--tmp DIR] COMMAND...: runs a command under restrictions that an unprivileged user can set: no new
# processes (fork and similar calls fail with ENOSYS), no io_uring, splice or sendfile, only IPv4 sockets, and a
# read-only file system (by Landlock if the kernel has it; otherwise no file can be opened for writing at all). With
# --tmp, DIR is writable and Unix domain sockets are allowed. Threads, exec in the same process and socketpair are
# allowed; the runtime creates a socket pair at its start. x86-64 Linux.
use strict;
use warnings;

use constant {
    ALLOW => 0x7fff0000, ERRNO => 0x00050000, ENOSYS => 38, EINVAL => 22, EROFS => 30, EAFNOSUPPORT => 97,
    X86_64 => 0xc000003e, CLONE_THREAD => 0x10000, AF_INET => 2, WRITES => 0x1 | 0x2 | 0x40 | 0x200,
    AF_UNIX => 1, O_PATH => 0x200000,
    FS_WRITES => 0x2 | 0x1ff0,                              # write to a file; remove and create files of all types
};
my $tmp;
if (@ARGV && $ARGV[0] eq '--tmp') { shift; $tmp = shift; }

# Allows writing only below the given paths; returns false if the kernel has no Landlock.
sub landlock {
    my $attributes = pack('Q', FS_WRITES);
    my $rules = syscall(444, $attributes, 8, 0);
    return 0 if $rules < 0;
    for my $place (grep { defined } $tmp, '/dev/null') {
        my $fd = syscall(257, -100, $place . "\0", O_PATH, 0);
        my $rule = pack('Ql', $place eq '/dev/null' ? 0x2 : FS_WRITES, $fd);
        $fd >= 0 && syscall(445, $rules, 1, $rule, 0) == 0 or die "landlock_add_rule($place): $!";
    }
    syscall(446, $rules, 0) == 0 or die "landlock_restrict_self: $!";
    return 1;
}

syscall(157, 38, 1, 0, 0, 0) == 0 or die "prctl(PR_SET_NO_NEW_PRIVS): $!";
my $landlocked = landlock();

my @program;
sub op { my ($code, $jt, $jf, $k) = @_; push @program, pack('SCCL', $code, $jt, $jf, $k); }
sub load { op(0x20, 0, 0, shift); }                        # the 32-bit word at that offset of struct seccomp_data
sub answer { op(0x06, 0, 0, shift); }
sub unless_equal { my ($k, $skip) = @_; op(0x15, 0, $skip, $k); }
sub when_any { my ($bits, $skip) = @_; op(0x45, 0, $skip, $bits); }    # continues if a bit is set, otherwise skips

load(4);
unless_equal(X86_64, 1);
op(0x05, 0, 0, 1);                                          # skips the next instruction
answer(ERRNO | ENOSYS);
load(0);
my %refused = (
    57 => ENOSYS, 58 => ENOSYS, 435 => ENOSYS,              # fork, vfork, clone3: libc falls back to clone
    425 => ENOSYS, 40 => ENOSYS, 275 => EINVAL,             # io_uring_setup, sendfile, splice
    437 => ENOSYS,                                          # openat2
    $landlocked ? () : map { $_ => EROFS } (85, 83, 84, 82, 86, 87, 88, 76, 258, 263, 264, 316, 265, 266),
);
for my $call (sort { $a <=> $b } keys %refused) {
    unless_equal($call, 1);
    answer(ERRNO | $refused{$call});
}
unless_equal(56, 4); load(16); when_any(CLONE_THREAD, 1); answer(ALLOW); answer(ERRNO | ENOSYS);    # clone
unless_equal(41, $tmp ? 6 : 4); load(16);                   # socket
if ($tmp) { unless_equal(AF_UNIX, 1); answer(ALLOW); }
unless_equal(AF_INET, 1); answer(ALLOW); answer(ERRNO | EAFNOSUPPORT);
if (!$landlocked) {
    unless_equal(2, 4); load(24); when_any(WRITES, 1); answer(ERRNO | EROFS); answer(ALLOW);      # open
    unless_equal(257, 4); load(32); when_any(WRITES, 1); answer(ERRNO | EROFS); answer(ALLOW);    # openat
}
answer(ALLOW);

my $filter = join '', @program;
my $fprog = pack('SxxxxxxP', scalar(@program), $filter);
syscall(317, 1, 0, $fprog) == 0 or die "seccomp(SECCOMP_SET_MODE_FILTER): $!";
exec @ARGV or die "exec: $!";
