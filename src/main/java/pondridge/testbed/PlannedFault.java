package pondridge.testbed;

/**
 * One fault of a run as {@link SoakPlan} draws it; {@link FaultInjector} injects it.
 *
 * @param atMs when the fault begins, in milliseconds from the start of the fault phase
 * @param durationMs how long the fault lasts, in milliseconds; a fault without a duration ignores it
 * @param target selects the sidecar or upstream, modulo their number; {@link #ALL} stands for all sidecars.
 *     For a clock fault it also selects the size of the step
 */
record PlannedFault(Type type, long atMs, long durationMs, int target) {
    static final int ALL = -1;

    /**
     * The types of fault. Those that make a system call fail name the call, the error and how many of a
     * thousand calls fail.
     */
    enum Type {
        ACCEPT_ENFILE(SystemFault.ACCEPT, Errno.ENFILE, 1000),
        ACCEPT_ENOBUFS(SystemFault.ACCEPT, Errno.ENOBUFS, 700),
        ACCEPT_ECONNABORTED(SystemFault.ACCEPT, Errno.ECONNABORTED, 500),
        SOCKET_ENOBUFS(SystemFault.SOCKET, Errno.ENOBUFS, 1000),
        SOCKET_ENFILE(SystemFault.SOCKET, Errno.ENFILE, 500),
        CONNECT_EADDRNOTAVAIL(SystemFault.CONNECT, Errno.EADDRNOTAVAIL, 1000),
        CONNECT_ENETUNREACH(SystemFault.CONNECT, Errno.ENETUNREACH, 700),
        CONNECT_EINTR(SystemFault.CONNECT, Errno.EINTR, 500),
        CONNECT_ETIMEDOUT(SystemFault.CONNECT_RESULT, Errno.ETIMEDOUT, 500),
        CONNECT_EHOSTUNREACH(SystemFault.CONNECT_RESULT, Errno.EHOSTUNREACH, 1000),
        READ_EINTR(SystemFault.READ, Errno.EINTR, 300),
        READ_ETIMEDOUT(SystemFault.READ, Errno.ETIMEDOUT, 10),
        WRITE_EINTR(SystemFault.WRITE, Errno.EINTR, 300),
        WRITE_ENOBUFS(SystemFault.WRITE, Errno.ENOBUFS, 300),
        SHORT_READS(SystemFault.SHORT_READ, Errno.EINTR, 500),
        SHORT_WRITES(SystemFault.SHORT_WRITE, Errno.EINTR, 500),
        WAIT_EINTR(SystemFault.WAIT, Errno.EINTR, 500),
        LOG_ENOSPC(SystemFault.LOG_WRITE, Errno.ENOSPC, 1000),
        LOG_EIO(SystemFault.LOG_WRITE, Errno.EIO, 500),
        OPEN_EMFILE(SystemFault.OPEN, Errno.EMFILE, 1000),
        RECEIVE_ENOMEM(SystemFault.RECEIVE, Errno.ENOMEM, 500),
        SEND_ENOBUFS(SystemFault.SEND, Errno.ENOBUFS, 1000),
        CLOCK_FORWARD(SystemFault.WALL_CLOCK, null, 1000),
        CLOCK_BACK(SystemFault.WALL_CLOCK, null, 1000),
        /** SIGSTOP suspends the sidecar's process for a short time. */
        STALL,
        /** Some requests to the upstream fail, in each of the ways of {@link UpstreamBehaviour#FAULTY}. */
        UPSTREAM_TROUBLED,
        /** The upstream sends no responses. */
        UPSTREAM_HUNG,
        /** The upstream's process dies and restarts cold. */
        UPSTREAM_RESTART,
        /** The upstream drains, leaves the list and returns cold. */
        UPSTREAM_DRAIN,
        /** The upstream's connections are reset. */
        PROXY_RESET,
        /** The upstream's responses are delayed. */
        PROXY_HOLD,
        /** The upstream's responses arrive in small fragments. */
        PROXY_CUT,
        /** The connections to discovery are reset. */
        WATCH_RESET,
        /** The open watches send nothing any more. */
        WATCH_SILENT,
        /** Discovery moves, and the sidecars reload their configuration. */
        RELOAD,
        /** As RELOAD, but the sidecars cannot open the file at first. */
        RELOAD_UNREADABLE,
        /** The sidecar gets SIGTERM, and SIGKILL if it does not exit in time; then it is restarted. */
        TERMINATE,
        /** The sidecar gets SIGKILL and is restarted. */
        KILL;

        private final SystemFault systemFault;
        private final Errno error;
        private final int perMille;

        Type() {
            this(null, null, 0);
        }

        Type(SystemFault systemFault, Errno error, int perMille) {
            this.systemFault = systemFault;
            this.error = error;
            this.perMille = perMille;
        }

        /** The system call that is affected, or null if the fault is not one of a system call. */
        SystemFault systemFault() {
            return systemFault;
        }

        Errno error() {
            return error;
        }

        int perMille() {
            return perMille;
        }
    }

    long endMs() {
        return atMs + durationMs;
    }

    @Override
    public String toString() {
        return atMs + " ms: " + type + " for " + durationMs + " ms at " + (target == ALL ? "all" : target);
    }
}
