/*
 * Injects faults into the system calls of one process. The testbed loads this library with LD_PRELOAD and
 * controls it through pondridge.testbed.FaultControl.
 *
 * The environment variable FAULT_CONTROL names a file of FAULT_SLOTS slots that the testbed and this library
 * both map. A slot makes one type of call fail between two times of CLOCK_MONOTONIC, with a given number of
 * failures per thousand calls; the library counts the calls that it changed. FAULT_SEED seeds the random
 * choice of those calls. Without a control file every call passes through unchanged.
 *
 * The environment variable FAULT_TRACE names a file in which the library records when the process writes the
 * first bytes of each request to an upstream, and when it reads the end of each accepted connection. The file is
 * created by pondridge.testbed.SidecarTrace, has room for a fixed number of records, and counts all of them.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdarg.h>
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

/* The order has to match pondridge.testbed.SystemFault: it is the order of the slots in the control file. */
enum fault {
    FAULT_ACCEPT, FAULT_SOCKET, FAULT_CONNECT, FAULT_CONNECT_RESULT, FAULT_READ, FAULT_WRITE, FAULT_SHORT_READ,
    FAULT_SHORT_WRITE, FAULT_WAIT, FAULT_LOG_WRITE, FAULT_OPEN, FAULT_WALL_CLOCK, FAULT_RECEIVE, FAULT_SEND,
    FAULT_EVENT_WRITE, FAULT_SLOTS
};

#define MIN_TRANSFER_BYTES 1
#define MAX_TRANSFER_BYTES 7
#define NANOS_PER_SECOND 1000000000LL

/* The control file's entry for one type of fault; FaultControl writes it at the same offsets. */
struct slot {
    int64_t start_ns;
    int64_t end_ns;
    int32_t error;
    int32_t per_mille;
    int64_t step_ns;      /* only used by FAULT_WALL_CLOCK */
    int64_t injected;     /* calls changed so far */
};

/* The trace file's kinds of records; SidecarTrace reads them. */
enum record_kind { RECORD_NONE, RECORD_REQUEST_SENT, RECORD_CONNECTION_ENDED };

#define REQUEST_ID_BYTES 112
#define MAX_DESCRIPTORS 65536

/* One record of the trace file; SidecarTrace reads it at the same offsets. */
struct record {
    int64_t at_ns;
    int32_t kind;                       /* written last: RECORD_NONE until the record is complete */
    int32_t port;                       /* of the request's own socket, or of the accepted connection's peer */
    char request_id[REQUEST_ID_BYTES];  /* ends with a zero; empty unless a request was sent */
};

struct trace {
    int64_t capacity;
    int64_t count;      /* how many records there were, which may be more than the capacity */
    struct record records[];
};

static struct trace *trace;
/* The peer's port of each accepted connection, by descriptor; 0 for all other descriptors. */
static uint16_t peer_ports[MAX_DESCRIPTORS];

static struct slot *control;
static __thread uint64_t random_state;

/* Declares real_NAME and resolves it to the next definition of NAME, the one of the C library. */
#define REAL(name) \
    static __typeof__(&name) real_##name; \
    if (real_##name == NULL) { \
        real_##name = (__typeof__(&name)) dlsym(RTLD_NEXT, #name); \
    }

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULT_CONTROL");
    if (path == NULL) {
        return;
    }
    REAL(open)
    int fd = real_open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, FAULT_SLOTS * sizeof(struct slot), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) {
        control = mapped;
    }
}

__attribute__((constructor)) static void map_trace(void) {
    const char *path = getenv("FAULT_TRACE");
    if (path == NULL) {
        return;
    }
    REAL(open)
    int fd = real_open(path, O_RDWR | O_CLOEXEC);
    struct stat status;
    if (fd < 0 || fstat(fd, &status) != 0) {
        return;
    }
    void *mapped = mmap(NULL, status.st_size, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) {
        trace = mapped;
    }
}

static int64_t monotonic_ns(void) {
    REAL(clock_gettime)
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * NANOS_PER_SECOND + now.tv_nsec;
}

static void add_record(enum record_kind kind, int64_t at_ns, int port, const char *id, size_t id_length) {
    int64_t index = __atomic_fetch_add(&trace->count, 1, __ATOMIC_RELAXED);
    if (index >= trace->capacity) {
        return;
    }
    struct record *record = &trace->records[index];
    record->at_ns = at_ns;
    record->port = port;
    memcpy(record->request_id, id, id_length < REQUEST_ID_BYTES ? id_length : REQUEST_ID_BYTES - 1);
    __atomic_store_n(&record->kind, kind, __ATOMIC_RELEASE);
}

static int local_port(int fd) {
    struct sockaddr_in address;
    socklen_t length = sizeof address;
    return getsockname(fd, (struct sockaddr *) &address, &length) == 0 ? ntohs(address.sin_port) : 0;
}

static int starts_with(const char *text, size_t length, const char *start) {
    size_t start_length = strlen(start);
    return length >= start_length && memcmp(text, start, start_length) == 0;
}

/* The time, if these bytes begin a request that is to be recorded, else 0. */
static int64_t request_time(const char *text, size_t length) {
    int is_request = trace != NULL && text != NULL
            && (starts_with(text, length, "GET /api") || starts_with(text, length, "POST /api"));
    return is_request ? monotonic_ns() : 0;
}

/* Records a request whose first bytes have been written, unless it has no id. */
static void record_request(int fd, int64_t at_ns, const char *text, size_t length) {
    static const char header[] = "\r\nReq-Id: ";
    const char *id = memmem(text, length, header, sizeof header - 1);
    if (id == NULL) {
        return;
    }
    id += sizeof header - 1;
    const char *end = memchr(id, '\r', length - (id - text));
    if (end != NULL) {
        add_record(RECORD_REQUEST_SENT, at_ns, local_port(fd), id, end - id);
    }
}

/* Remembers the peer of an accepted connection. */
static int accepted(int fd, const struct sockaddr *address) {
    if (trace != NULL && fd >= 0 && fd < MAX_DESCRIPTORS) {
        struct sockaddr_in peer = {0};
        socklen_t length = sizeof peer;
        if (address != NULL) {
            memcpy(&peer, address, sizeof peer);
        } else if (getpeername(fd, (struct sockaddr *) &peer, &length) != 0) {
            peer.sin_port = 0;
        }
        peer_ports[fd] = ntohs(peer.sin_port);
    }
    return fd;
}

/* Records the end of an accepted connection, if this is the result of the read that found it. */
static ssize_t record_end(int fd, ssize_t result) {
    int ended = result == 0 || (result < 0 && errno == ECONNRESET);
    if (trace != NULL && ended && fd < MAX_DESCRIPTORS && peer_ports[fd] != 0) {
        int error = errno;
        add_record(RECORD_CONNECTION_ENDED, monotonic_ns(), peer_ports[fd], "", 0);
        peer_ports[fd] = 0;
        errno = error;
    }
    return result;
}

static uint64_t next_random(void) {
    if (random_state == 0) {
        const char *seed = getenv("FAULT_SEED");
        random_state = (seed == NULL ? 1 : strtoull(seed, NULL, 10)) * 0x9e3779b97f4a7c15ULL + 1;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

/* Decides whether to inject the fault into this call, and counts the call if so. */
static int inject(enum fault fault) {
    if (control == NULL) {
        return 0;
    }
    struct slot *slot = &control[fault];
    int64_t end_ns = __atomic_load_n(&slot->end_ns, __ATOMIC_ACQUIRE);
    if (end_ns == 0) {
        return 0;
    }
    int64_t now = monotonic_ns();
    if (now >= end_ns || now < slot->start_ns || (int32_t) (next_random() % 1000) >= slot->per_mille) {
        return 0;
    }
    __atomic_add_fetch(&slot->injected, 1, __ATOMIC_RELAXED);
    return 1;
}

static int fail_with_error(enum fault fault) {
    errno = control[fault].error;
    return -1;
}

static int socket_type(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    REAL(getsockopt)
    return real_getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 ? type : 0;
}

static int is_stream(int fd) {
    return socket_type(fd) == SOCK_STREAM;
}

/* The length of a transfer on a TCP connection, cut to a few bytes if the fault is injected. */
static size_t shortened_length(enum fault fault, int fd, size_t length) {
    if (length > MAX_TRANSFER_BYTES && is_stream(fd) && inject(fault)) {
        return MIN_TRANSFER_BYTES + next_random() % MAX_TRANSFER_BYTES;
    }
    return length;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept)
    return inject(FAULT_ACCEPT) ? fail_with_error(FAULT_ACCEPT)
            : accepted(real_accept(fd, address, length), address);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4)
    return inject(FAULT_ACCEPT) ? fail_with_error(FAULT_ACCEPT)
            : accepted(real_accept4(fd, address, length, flags), address);
}

int socket(int domain, int type, int protocol) {
    REAL(socket)
    if ((domain == AF_INET || domain == AF_INET6) && inject(FAULT_SOCKET)) {
        return fail_with_error(FAULT_SOCKET);
    }
    return real_socket(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect)
    if (control == NULL || !is_stream(fd) || !inject(FAULT_CONNECT)) {
        return real_connect(fd, address, length);
    }
    if (control[FAULT_CONNECT].error == EINTR) {
        real_connect(fd, address, length);      /* the attempt continues in the background, see connect(2) */
    }
    return fail_with_error(FAULT_CONNECT);
}

/* SO_ERROR is the result of a connect that was in progress. */
int getsockopt(int fd, int level, int option, void *value, socklen_t *length) {
    REAL(getsockopt)
    int result = real_getsockopt(fd, level, option, value, length);
    if (result == 0 && level == SOL_SOCKET && option == SO_ERROR && inject(FAULT_CONNECT_RESULT)) {
        *(int *) value = control[FAULT_CONNECT_RESULT].error;
    }
    return result;
}

ssize_t read(int fd, void *buffer, size_t length) {
    REAL(read)
    if (control != NULL && is_stream(fd) && inject(FAULT_READ)) {
        return fail_with_error(FAULT_READ);
    }
    return record_end(fd, real_read(fd, buffer, shortened_length(FAULT_SHORT_READ, fd, length)));
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    REAL(recv)
    if (control != NULL && is_stream(fd) && inject(FAULT_READ)) {
        return fail_with_error(FAULT_READ);
    }
    return record_end(fd, real_recv(fd, buffer, shortened_length(FAULT_SHORT_READ, fd, length), flags));
}

ssize_t recvfrom(int fd, void *buffer, size_t length, int flags, struct sockaddr *from, socklen_t *from_length) {
    REAL(recvfrom)
    if (control != NULL && socket_type(fd) == SOCK_DGRAM && inject(FAULT_RECEIVE)) {
        return fail_with_error(FAULT_RECEIVE);
    }
    return real_recvfrom(fd, buffer, length, flags, from, from_length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    REAL(write)
    if (control == NULL) {
        return real_write(fd, buffer, length);
    }
    if (fd == STDOUT_FILENO || fd == STDERR_FILENO) {
        return inject(FAULT_LOG_WRITE) ? fail_with_error(FAULT_LOG_WRITE) : real_write(fd, buffer, length);
    }
    if (is_stream(fd)) {
        if (inject(FAULT_WRITE)) {
            return fail_with_error(FAULT_WRITE);
        }
        int64_t at_ns = request_time(buffer, length);
        ssize_t written = real_write(fd, buffer, shortened_length(FAULT_SHORT_WRITE, fd, length));
        if (at_ns != 0 && written > 0) {
            record_request(fd, at_ns, buffer, length);
        }
        return written;
    }
    if (length == sizeof(uint64_t) && socket_type(fd) == 0 && inject(FAULT_EVENT_WRITE)) {
        return fail_with_error(FAULT_EVENT_WRITE);
    }
    return real_write(fd, buffer, length);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev)
    if (control == NULL || !is_stream(fd)) {
        return real_writev(fd, parts, count);
    }
    if (inject(FAULT_WRITE)) {
        return fail_with_error(FAULT_WRITE);
    }
    size_t length = count == 0 ? 0 : parts[0].iov_len;
    const char *text = count == 0 ? NULL : parts[0].iov_base;
    int64_t at_ns = request_time(text, length);
    size_t shortened = shortened_length(FAULT_SHORT_WRITE, fd, length);
    struct iovec first = {(void *) text, shortened};
    ssize_t written = shortened < length ? real_writev(fd, &first, 1) : real_writev(fd, parts, count);
    if (at_ns != 0 && written > 0) {
        record_request(fd, at_ns, text, length);
    }
    return written;
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    REAL(send)
    if (control != NULL && is_stream(fd) && inject(FAULT_WRITE)) {
        return fail_with_error(FAULT_WRITE);
    }
    return real_send(fd, buffer, shortened_length(FAULT_SHORT_WRITE, fd, length), flags);
}

ssize_t sendto(int fd, const void *buffer, size_t length, int flags, const struct sockaddr *to,
        socklen_t to_length) {
    REAL(sendto)
    if (control != NULL && socket_type(fd) == SOCK_DGRAM && inject(FAULT_SEND)) {
        return fail_with_error(FAULT_SEND);
    }
    return real_sendto(fd, buffer, length, flags, to, to_length);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(epoll_wait)
    return inject(FAULT_WAIT) ? fail_with_error(FAULT_WAIT)
            : real_epoll_wait(fd, events, max_events, timeout);
}

/* Opening a file below /proc or /dev is never made to fail. */
static int open_fails(const char *path) {
    return control != NULL && strncmp(path, "/proc/", 6) != 0 && strncmp(path, "/dev/", 5) != 0
            && inject(FAULT_OPEN);
}

#define DEFINE_OPEN(name) \
    int name(const char *path, int flags, ...) { \
        REAL(name) \
        va_list arguments; \
        va_start(arguments, flags); \
        mode_t mode = va_arg(arguments, mode_t); \
        va_end(arguments); \
        return open_fails(path) ? fail_with_error(FAULT_OPEN) : real_##name(path, flags, mode); \
    }

DEFINE_OPEN(open)
DEFINE_OPEN(open64)

/* The current shift of the wall clock; it lasts until the slot's end. */
static int64_t wall_clock_step_ns(void) {
    return control != NULL && inject(FAULT_WALL_CLOCK) ? control[FAULT_WALL_CLOCK].step_ns : 0;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime)
    int result = real_clock_gettime(clock, now);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t shifted_ns = now->tv_sec * NANOS_PER_SECOND + now->tv_nsec + wall_clock_step_ns();
        now->tv_sec = shifted_ns / NANOS_PER_SECOND;
        now->tv_nsec = shifted_ns % NANOS_PER_SECOND;
    }
    return result;
}

int gettimeofday(struct timeval *now, void *zone) {
    REAL(gettimeofday)
    int result = real_gettimeofday(now, zone);
    if (result == 0) {
        now->tv_sec += wall_clock_step_ns() / NANOS_PER_SECOND;
    }
    return result;
}
