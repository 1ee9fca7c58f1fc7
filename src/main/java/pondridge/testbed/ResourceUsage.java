package pondridge.testbed;

/**
 * The resources that a sidecar process uses at one moment.
 *
 * @param descriptors open file descriptors, or -1 if the process has exited
 * @param peakMemoryKb peak resident memory in kilobytes, or -1 if the process has exited
 * @param cpuMs processor time used since the process started, in milliseconds, or 0 if it is unknown
 */
record ResourceUsage(int descriptors, long peakMemoryKb, long cpuMs) {
    private static final int KB_PER_MB = 1024;

    static ResourceUsage of(SidecarProcess sidecar) {
        return new ResourceUsage(sidecar.openDescriptors(), sidecar.peakMemoryKb(), sidecar.cpuMs());
    }

    @Override
    public String toString() {
        return descriptors + " descriptors, peak " + peakMemoryKb / KB_PER_MB + " MB, " + cpuMs
                + " ms of processor time";
    }
}
