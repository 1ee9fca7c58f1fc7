package pondridge.testbed;

/**
 * The system calls that the preloaded library ({@code fault_shim.c}) makes fail or changes. The order has to
 * match the library's enum, since it is the order of the slots in the control file.
 */
enum SystemFault {
    /** {@code accept} fails. */
    ACCEPT,
    /** {@code socket} fails for a TCP or UDP socket. */
    SOCKET,
    /** {@code connect} fails immediately. */
    CONNECT,
    /** A {@code connect} in progress fails; the error is read with {@code SO_ERROR}. */
    CONNECT_RESULT,
    /** A read from a TCP connection fails. */
    READ,
    /** A write to a TCP connection fails. */
    WRITE,
    /** A read from a TCP connection transfers only a few bytes. */
    SHORT_READ,
    /** A write to a TCP connection transfers only a few bytes. */
    SHORT_WRITE,
    /** {@code epoll_wait} fails. */
    WAIT,
    /** A write to standard output or error fails. */
    LOG_WRITE,
    /** Opening a file fails. */
    OPEN,
    /** The wall clock is set forward or back for as long as the fault lasts. */
    WALL_CLOCK,
    /** Receiving a datagram fails. */
    RECEIVE,
    /** Sending a datagram fails. */
    SEND,
    /** A write to the {@code eventfd} that wakes the event loop fails. */
    EVENT_WRITE
}
