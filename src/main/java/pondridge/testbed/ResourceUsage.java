package pondridge.testbed;

/**
 * What a sidecar process uses at one moment; -1 where it has ended.
 *
 * @param peakMemoryKb the most memory that it has held, in kilobytes
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
