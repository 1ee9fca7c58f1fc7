package pondridge.testbed;

/** Error numbers of Linux (asm-generic/errno.h) that the testbed injects. */
enum Errno {
    EINTR(4), EIO(5), ENOMEM(12), ENFILE(23), EMFILE(24), ENOSPC(28), EADDRNOTAVAIL(99), ENETUNREACH(101),
    ECONNABORTED(103), ENOBUFS(105), ETIMEDOUT(110), EHOSTUNREACH(113);

    private final int number;

    Errno(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
