# Keeps a listening socket on loopback open and runs the command given as arguments with the socket as descriptor 0,
# once for each line on standard input. The line holds environment variables of the new process (NAME=value, separated
# by spaces). Prints "port N" at the start and "started PID" for each process. The processes inherit standard error.
use strict;
use warnings;
use Socket;
use IO::Handle;
use POSIX ();
socket(my $listener, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
bind($listener, sockaddr_in(0, INADDR_LOOPBACK)) or die "bind: $!";
listen($listener, 128) or die "listen: $!";
my ($port) = sockaddr_in(getsockname($listener));
STDOUT->autoflush(1);
print "port $port\n";
$SIG{CHLD} = 'IGNORE';
while (my $line = <STDIN>) {
    my $pid = fork();
    die "fork: $!" unless defined $pid;
    if ($pid == 0) {
        for my $variable (split ' ', $line) {
            my ($name, $value) = split /=/, $variable, 2;
            $ENV{$name} = $value;
        }
        POSIX::dup2(fileno($listener), 0);
        exec @ARGV or die "exec: $!";
    }
    print "started $pid\n";
}
