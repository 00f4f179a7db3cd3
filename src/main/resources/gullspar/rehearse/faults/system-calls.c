/*
 * A library to be preloaded into a process; makes selected system calls fail as a control file specifies.
 *
 * GULLSPAR_FAULTS names the control file, which is mapped into memory. It holds one 32-bit word per call, in the order
 * of SystemCall.java: the low half is the error number, the high half is N if one call in N is to fail. With a word of
 * 0 no call fails.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

enum call { CALL_SOCKET, CALL_ACCEPT, CALL_CONNECT, CALL_BIND, CALL_LISTEN, CALL_WRITE_LOG, CALLS };

static volatile const uint32_t *control;
/* The number of calls so far, to select one in N. */
static uint32_t call_counts[CALLS];

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("GULLSPAR_FAULTS");
    if (path == NULL) {
        return;
    }
    int descriptor = open(path, O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    void *mapped = mmap(NULL, CALLS * sizeof(uint32_t), PROT_READ, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (mapped != MAP_FAILED) {
        control = mapped;
    }
}

/* Returns whether this call is to fail; if so, sets errno. */
static int fails(enum call call) {
    uint32_t word = control == NULL ? 0 : control[call];
    if (word == 0) {
        return 0;
    }
    uint32_t one_in = word >> 16;
    if (one_in > 1 && __sync_add_and_fetch(&call_counts[call], 1) % one_in != 0) {
        return 0;
    }
    errno = (int)(word & 0xffff);
    return 1;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int socket(int domain, int type, int protocol) {
    if ((domain == AF_INET || domain == AF_INET6) && fails(CALL_SOCKET)) {
        return -1;
    }
    return REAL(socket)(domain, type, protocol);
}

int accept(int descriptor, struct sockaddr *address, socklen_t *length) {
    return fails(CALL_ACCEPT) ? -1 : REAL(accept)(descriptor, address, length);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    return fails(CALL_ACCEPT) ? -1 : REAL(accept4)(descriptor, address, length, flags);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    return fails(CALL_CONNECT) ? -1 : REAL(connect)(descriptor, address, length);
}

int bind(int descriptor, const struct sockaddr *address, socklen_t length) {
    return fails(CALL_BIND) ? -1 : REAL(bind)(descriptor, address, length);
}

int listen(int descriptor, int backlog) {
    return fails(CALL_LISTEN) ? -1 : REAL(listen)(descriptor, backlog);
}

ssize_t write(int descriptor, const void *bytes, size_t length) {
    if (descriptor == STDERR_FILENO && fails(CALL_WRITE_LOG)) {
        return -1;
    }
    return REAL(write)(descriptor, bytes, length);
}
