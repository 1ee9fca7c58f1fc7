package pondridge.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line of the testbed. */
@Command(name = "testbed", mixinStandardHelpOptions = true, subcommands = Main.SoakCommand.class,
        description = "Runs real sidecars against stub upstreams under seeded faults.")
public final class Main {
    private Main() { }

    /** Runs one command. Exit status: 0 without violations, 1 with violations, 2 for invalid arguments. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new Main()).execute(args));
    }

    /**
     * Runs the randomized fault soak for one seed or for consecutive seeds. The help text shows the names of
     * the fields as the names of the options' values.
     */
    @Command(name = "soak", mixinStandardHelpOptions = true,
            description = "Runs the randomized fault soak; the exit status is 1 if it finds a violation.")
    static final class SoakCommand implements Callable<Integer> {
        @Option(names = "--seed", description = "first seed (default: ${DEFAULT-VALUE})")
        private long seed = 1;
        @Option(names = "--seeds", description = "how many consecutive seeds (default: ${DEFAULT-VALUE})")
        private int seeds = 1;
        @Option(names = "--sidecars", description = "sidecar processes (default: ${DEFAULT-VALUE})")
        private int sidecars = 12;
        @Option(names = "--upstreams", description = "stub upstreams (default: ${DEFAULT-VALUE})")
        private int upstreams = 8;
        @Option(names = "--seconds",
                description = "length of the fault phase in seconds (default: ${DEFAULT-VALUE})")
        private int seconds = 20;
        @Option(names = "--rate", description = "exchanges per second at each sidecar (default: "
                + "${DEFAULT-VALUE})")
        private int rate = 30;
        @Option(names = "--troubles",
                description = "faults that begin per second (default: ${DEFAULT-VALUE})")
        private int troubles = 6;
        @Option(names = "--crowd-every",
                description = "every n-th seed has idle clients; 0 for none (default: "
                        + "${DEFAULT-VALUE})")
        private int crowdEvery = 5;
        @Option(names = "--out", description = "folder for logs and reports (default: ${DEFAULT-VALUE})")
        private Path out = Path.of("target", "soak");

        @Override
        public Integer call() throws IOException {
            int violatedSeeds = 0;
            SoakPlan.Size size = new SoakPlan.Size(sidecars, upstreams, seconds, rate, troubles);
            for (long each = seed; each < seed + seeds; each++) {
                boolean idleClients = crowdEvery > 0 && each % crowdEvery == 0;
                SoakPlan plan = SoakPlan.draw(each, size, idleClients);
                SoakReport report = new Soak(plan, out.resolve("seed-" + each)).run();
                System.out.println(seeds == 1 ? report.text() : report.summary());
                violatedSeeds += report.violations().isEmpty() ? 0 : 1;
            }
            System.out.println(seeds - violatedSeeds + " of " + seeds + " seeds without a violation");
            return violatedSeeds == 0 ? 0 : 1;
        }
    }
}
