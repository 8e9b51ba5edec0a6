/*
 * Makes system calls of one process fail as Linux documents, at rates that another process sets.
 * Loaded with LD_PRELOAD into brokers that the fault soak starts. Both processes map the file that
 * REELDEAL_FAULT_CONTROL names; its layout is that of struct control.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum fault {
    FAIL_ACCEPT, FAIL_SOCKET, FAIL_CONNECT, INTERRUPT_WAIT, SHORT_READ, SHORT_WRITE,
    FAIL_FILE_WRITE, FAIL_FILE_SYNC, BREAK_CONNECTION, INTERRUPT_READ, DELAY_WAIT, TEAR_FILE_WRITE, SHORT_FILE_WRITE,
    FAULT_COUNT
};

#define MAX_FAULTS 16
#define PORTS 65536
#define MAX_FDS 65536
#define MAX_SHORT_BYTES 48
#define WRITES 16
#define WAIT_DELAY_MICROS 30000

/* A write to a connection: how many bytes were written by then, and its time, CLOCK_MONOTONIC in ns. */
struct write_record {
    int64_t end_offset;
    int64_t at_nanos;
};

struct control {
    volatile int32_t permille[MAX_FAULTS];
    volatile int64_t wall_offset_ms;
    volatile int32_t injected[MAX_FAULTS];
    volatile int32_t reserved[30];
    /* Bytes that the process has read from an accepted connection, by the port of the peer. */
    volatile uint32_t read_by_port[PORTS];
    /* The latest writes to the connection that the process opened last from a port, by that port. */
    volatile struct write_record writes_by_port[PORTS][WRITES];
};

static struct control *control;
static uint16_t accepted_port[MAX_FDS];
static uint8_t is_outgoing[MAX_FDS];
static uint16_t outgoing_port[MAX_FDS];
static int64_t written_bytes[MAX_FDS];
static uint32_t write_count[MAX_FDS];
static __thread uint64_t random_state;

__attribute__((constructor)) static void attach(void) {
    const char *path = getenv("REELDEAL_FAULT_CONTROL");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) {
        return;
    }
    void *map = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    control = map == MAP_FAILED ? NULL : map;
}

#define REAL(name) ((__typeof__(&name)) real(#name, &real_##name))
#define DECLARE(name) static void *real_##name

static void *real(const char *name, void **slot) {
    if (!*slot) {
        *slot = dlsym(RTLD_NEXT, name);
    }
    return *slot;
}

static uint32_t next_random(void) {
    if (!random_state) {
        const char *seed = getenv("REELDEAL_FAULT_SEED");
        random_state = (seed ? strtoull(seed, NULL, 10) : 1) * 0x9e3779b97f4a7c15u ^ (uintptr_t) &random_state;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t) (random_state >> 32);
}

static int strikes(enum fault fault) {
    if (!control || (int32_t) (next_random() % 1000) >= control->permille[fault]) {
        return 0;
    }
    __atomic_add_fetch(&control->injected[fault], 1, __ATOMIC_RELAXED);
    return 1;
}

static int fail(const int *errors, int count) {
    errno = errors[next_random() % (uint32_t) count];
    return -1;
}

static int is_regular_file(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

static int is_socket(int fd) {
    return fd >= 0 && fd < MAX_FDS && (is_outgoing[fd] || accepted_port[fd]);
}

static void remember_accepted(int fd) {
    struct sockaddr_in peer;
    socklen_t length = sizeof peer;
    if (fd >= 0 && fd < MAX_FDS) {
        is_outgoing[fd] = 0;
        accepted_port[fd] = getpeername(fd, (struct sockaddr *) &peer, &length) == 0 ? ntohs(peer.sin_port) : 0;
    }
}

DECLARE(accept);
int accept(int fd, struct sockaddr *address, socklen_t *length) {
    static const int errors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    if (strikes(FAIL_ACCEPT)) {
        return fail(errors, 5);
    }
    int accepted = REAL(accept)(fd, address, length);
    remember_accepted(accepted);
    return accepted;
}

DECLARE(accept4);
int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    if (strikes(FAIL_ACCEPT)) {
        return fail(errors, 5);
    }
    int accepted = REAL(accept4)(fd, address, length, flags);
    remember_accepted(accepted);
    return accepted;
}

DECLARE(socket);
int socket(int domain, int type, int protocol) {
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    int is_stream = (domain == AF_INET || domain == AF_INET6) && (type & 0xf) == SOCK_STREAM;
    if (is_stream && strikes(FAIL_SOCKET)) {
        return fail(errors, 4);
    }
    int fd = REAL(socket)(domain, type, protocol);
    if (fd >= 0 && fd < MAX_FDS) {
        is_outgoing[fd] = 0;
        accepted_port[fd] = 0;
    }
    return fd;
}

DECLARE(connect);
int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH, ETIMEDOUT};
    if (strikes(FAIL_CONNECT)) {
        return fail(errors, 5);
    }
    if (fd >= 0 && fd < MAX_FDS) {
        is_outgoing[fd] = 1;
        outgoing_port[fd] = 0;
    }
    return REAL(connect)(fd, address, length);
}

/* A descriptor may name a file next, whose reads are no client's bytes. */
DECLARE(close);
int close(int fd) {
    if (fd >= 0 && fd < MAX_FDS) {
        accepted_port[fd] = 0;
        is_outgoing[fd] = 0;
    }
    return REAL(close)(fd);
}

DECLARE(epoll_wait);
int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    if (strikes(INTERRUPT_WAIT)) {
        errno = EINTR;
        return -1;
    }
    int ready = REAL(epoll_wait)(fd, events, count, timeout);
    if (strikes(DELAY_WAIT)) {
        usleep(WAIT_DELAY_MICROS);
    }
    return ready;
}

static void count_read(int fd, ssize_t bytes) {
    if (control && bytes > 0 && fd >= 0 && fd < MAX_FDS && accepted_port[fd]) {
        __atomic_add_fetch(&control->read_by_port[accepted_port[fd]], (uint32_t) bytes, __ATOMIC_SEQ_CST);
    }
}

DECLARE(read);
ssize_t read(int fd, void *buffer, size_t length) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    if (control && is_socket(fd)) {
        if (is_outgoing[fd] && strikes(BREAK_CONNECTION)) {
            shutdown(fd, SHUT_RDWR);
            return fail(errors, 3);
        }
        if (strikes(INTERRUPT_READ)) {
            errno = EINTR;
            return -1;
        }
        if (length > MAX_SHORT_BYTES && strikes(SHORT_READ)) {
            length = 1 + next_random() % MAX_SHORT_BYTES;
        }
    }
    ssize_t bytes = REAL(read)(fd, buffer, length);
    count_read(fd, bytes);
    return bytes;
}

static int write_fails(int fd, size_t *length) {
    static const int errors[] = {ENOSPC, EIO};
    if (!control) {
        return 0;
    }
    if (is_socket(fd)) {
        if (*length > MAX_SHORT_BYTES && strikes(SHORT_WRITE)) {
            *length = 1 + next_random() % MAX_SHORT_BYTES;
        }
        return 0;
    }
    if (control->permille[FAIL_FILE_WRITE] && is_regular_file(fd) && strikes(FAIL_FILE_WRITE)) {
        fail(errors, 2);
        return 1;
    }
    if (control->permille[SHORT_FILE_WRITE] && *length > 1 && is_regular_file(fd) && strikes(SHORT_FILE_WRITE)) {
        *length = 1 + next_random() % (*length - 1);
    }
    return 0;
}

static ssize_t count_written(int fd, ssize_t bytes) {
    if (!control || bytes <= 0 || fd < 0 || fd >= MAX_FDS || !is_outgoing[fd]) {
        return bytes;
    }
    if (!outgoing_port[fd]) {
        struct sockaddr_in own;
        socklen_t length = sizeof own;
        outgoing_port[fd] = getsockname(fd, (struct sockaddr *) &own, &length) == 0 ? ntohs(own.sin_port) : 0;
        written_bytes[fd] = 0;
        memset((void *) control->writes_by_port[outgoing_port[fd]], 0, sizeof control->writes_by_port[0]);
    }
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    written_bytes[fd] += bytes;
    volatile struct write_record *record = &control->writes_by_port[outgoing_port[fd]][write_count[fd]++ % WRITES];
    record->at_nanos = now.tv_sec * 1000000000LL + now.tv_nsec;
    record->end_offset = written_bytes[fd];
    return bytes;
}

/* Whether only the first half of a write to a file may happen, after which its thread never goes on. */
static int is_torn(int fd) {
    return control && control->permille[TEAR_FILE_WRITE] && !is_socket(fd) && is_regular_file(fd)
        && strikes(TEAR_FILE_WRITE);
}

static void stop_thread(void) {
    for (;;) {
        pause();
    }
}

DECLARE(write);
ssize_t write(int fd, const void *buffer, size_t length) {
    if (is_torn(fd) && REAL(write)(fd, buffer, length / 2) >= 0) {
        stop_thread();
    }
    return write_fails(fd, &length) ? -1 : count_written(fd, REAL(write)(fd, buffer, length));
}

DECLARE(writev);
ssize_t writev(int fd, const struct iovec *parts, int count) {
    size_t length = 0;
    for (int i = 0; i < count; i++) {
        length += parts[i].iov_len;
    }
    size_t allowed = length;
    if (write_fails(fd, &allowed)) {
        return -1;
    }
    if (allowed < length && parts[0].iov_len > 0) {
        length = allowed < parts[0].iov_len ? allowed : parts[0].iov_len;
        return count_written(fd, REAL(write)(fd, parts[0].iov_base, length));
    }
    return count_written(fd, REAL(writev)(fd, parts, count));
}

DECLARE(pwrite64);
ssize_t pwrite64(int fd, const void *buffer, size_t length, off64_t offset) {
    if (is_torn(fd) && REAL(pwrite64)(fd, buffer, length / 2, offset) >= 0) {
        stop_thread();
    }
    return write_fails(fd, &length) ? -1 : REAL(pwrite64)(fd, buffer, length, offset);
}

DECLARE(fsync);
int fsync(int fd) {
    if (strikes(FAIL_FILE_SYNC)) {
        errno = EIO;
        return -1;
    }
    return REAL(fsync)(fd);
}

DECLARE(fdatasync);
int fdatasync(int fd) {
    if (strikes(FAIL_FILE_SYNC)) {
        errno = EIO;
        return -1;
    }
    return REAL(fdatasync)(fd);
}

DECLARE(clock_gettime);
int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = REAL(clock_gettime)(clock, now);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t offset = control->wall_offset_ms;
        int64_t nanos = now->tv_nsec + (offset % 1000) * 1000000;
        now->tv_sec += offset / 1000 + (nanos >= 1000000000) - (nanos < 0);
        now->tv_nsec = nanos >= 1000000000 ? nanos - 1000000000 : nanos < 0 ? nanos + 1000000000 : nanos;
    }
    return result;
}

DECLARE(gettimeofday);
int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    int result = REAL(gettimeofday)(now, zone);
    if (result == 0 && control) {
        int64_t micros = now->tv_usec + control->wall_offset_ms % 1000 * 1000;
        now->tv_sec += control->wall_offset_ms / 1000 + (micros >= 1000000) - (micros < 0);
        now->tv_usec = micros >= 1000000 ? micros - 1000000 : micros < 0 ? micros + 1000000 : micros;
    }
    return result;
}
