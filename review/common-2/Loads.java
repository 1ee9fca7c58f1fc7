package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

/** Several clients of one sidecar. */
final class Loads implements AutoCloseable {
    private final List<Load> loads = new ArrayList<>();

    /** Starts clients whose requests have bodies of some bytes, and that send in step or by turns. */
    Loads(int count, Sidecar sidecar, String prefix, long pauseMs, boolean inStep, int bodyBytes,
            Recording record) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            loads.add(new Load(sidecar.port, prefix + i + "-", pauseMs, inStep, record, bodyBytes));
            Thread.sleep(inStep ? 0 : pauseMs / count);
        }
    }

    int total(ToIntFunction<Load> count) {
        return loads.stream().mapToInt(count).sum();
    }

    int served() {
        return total(load -> load.served.get());
    }

    /** Ends all clients after their present requests. */
    @Override
    public void close() throws InterruptedException {
        loads.forEach(Load::stop);
        for (Load load : loads) {
            load.close();
        }
    }
}
