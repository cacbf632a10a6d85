/* System calls that fail as Linux documents, and a wall clock that is stepped, in one process of the program.
 *
 * Loaded with LD_PRELOAD. What is to fail stands in a file of 64-bit integers, named by CLAYCROSS_FAULTS and
 * mapped here, so that whoever runs the process can change it at any moment (faults.py has the same order of
 * fields). Rates are in thousandths of the calls. Only sockets over IPv4 and regular files are touched; the
 * standard descriptors are left alone.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum field {
    WALL_OFFSET_NS, ACCEPT, SOCKET, CONNECT, SHORT_IO, POLL_EINTR, RECV_ERROR, WRITE_ERROR, SYNC_ERROR,
    KILL_AT_WRITE, KILL_AT_SYNC, KILL_AT_RENAME, FAILED, FIELDS
};

static volatile int64_t *shared;
static uint64_t state = 88172645463325252ULL;

static int64_t get(enum field name) { return shared ? shared[name] : 0; }

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("CLAYCROSS_FAULTS");
    int descriptor = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (descriptor < 0) return;
    void *map = mmap(NULL, FIELDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (map != MAP_FAILED) shared = map;
    state ^= (uint64_t)getpid() * 0x9E3779B97F4A7C15ULL;
}

static int draw(enum field rate) {
    int64_t wanted = get(rate);
    if (wanted <= 0) return 0;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    if ((int64_t)(state % 1000) >= wanted) return 0;
    __sync_fetch_and_add(&shared[FAILED], 1);
    return 1;
}

static int one_of(const int *errors, int count) { return errors[(state >> 20) % (uint64_t)count]; }

#define FAIL_WITH(...)                                                    \
    do {                                                                  \
        static const int errors[] = {__VA_ARGS__};                        \
        errno = one_of(errors, (int)(sizeof errors / sizeof errors[0]));  \
        return -1;                                                        \
    } while (0)

#define REAL(name) \
    static typeof(&name) real; \
    if (!real) real = (typeof(&name))dlsym(RTLD_NEXT, #name)

static int over_ipv4(int descriptor) {
    struct sockaddr_storage address;
    socklen_t size = sizeof address;
    int kept = errno;
    int found = getsockname(descriptor, (struct sockaddr *)&address, &size) == 0 && address.ss_family == AF_INET;
    errno = kept;
    return found;
}

static int regular_file(int descriptor) {
    struct stat found;
    return descriptor > 2 && fstat(descriptor, &found) == 0 && S_ISREG(found.st_mode);
}

static void kill_at(enum field name) {
    if (get(name) > 0 && __sync_sub_and_fetch(&shared[name], 1) == 0) kill(getpid(), SIGKILL);
}

int clock_gettime(clockid_t clock, struct timespec *out) {
    REAL(clock_gettime);
    int result = real(clock, out);
    int64_t offset = get(WALL_OFFSET_NS);
    if (result == 0 && offset && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t now = (int64_t)out->tv_sec * 1000000000 + out->tv_nsec + offset;
        out->tv_sec = now / 1000000000;
        out->tv_nsec = now % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict out, void *restrict zone) {
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    out->tv_sec = now.tv_sec;
    out->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *out) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out) *out = now.tv_sec;
    return now.tv_sec;
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && draw(SOCKET)) FAIL_WITH(ENFILE, ENOBUFS, ENOMEM);
    return real(domain, type, protocol);
}

int accept4(int descriptor, struct sockaddr *restrict address, socklen_t *restrict size, int flags) {
    REAL(accept4);
    if (draw(ACCEPT)) FAIL_WITH(ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO);
    return real(descriptor, address, size, flags);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    if (address->sa_family == AF_INET && draw(CONNECT)) FAIL_WITH(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN);
    return real(descriptor, address, size);
}

int poll(struct pollfd *watched, nfds_t count, int timeout) {
    REAL(poll);
    if (draw(POLL_EINTR)) FAIL_WITH(EINTR);
    return real(watched, count, timeout);
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags) {
    REAL(recv);
    if (size > 1 && over_ipv4(descriptor)) {
        if (draw(RECV_ERROR)) FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ECONNRESET);
        if (draw(SHORT_IO)) size = 1 + size / 64;
    }
    return real(descriptor, buffer, size, flags);
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags) {
    REAL(send);
    if (size > 1 && over_ipv4(descriptor) && draw(SHORT_IO)) size = 1 + size / 3;
    return real(descriptor, buffer, size, flags);
}

ssize_t write(int descriptor, const void *buffer, size_t size) {
    REAL(write);
    if (shared && regular_file(descriptor)) {
        if (get(KILL_AT_WRITE) > 0) {
            if (get(KILL_AT_WRITE) == 1) (void)!real(descriptor, buffer, size / 2);
            kill_at(KILL_AT_WRITE);
        }
        if (draw(WRITE_ERROR)) FAIL_WITH(ENOSPC, EIO);
        if (size > 1 && draw(SHORT_IO)) size = 1 + size / 2;
    }
    return real(descriptor, buffer, size);
}

int fsync(int descriptor) {
    REAL(fsync);
    kill_at(KILL_AT_SYNC);
    if (draw(SYNC_ERROR)) FAIL_WITH(EIO, ENOSPC);
    return real(descriptor);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    kill_at(KILL_AT_RENAME);
    return real(from, to);
}
