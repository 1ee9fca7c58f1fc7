package review2;

import java.nio.file.Path;

/** Runs one case: its exit status is 10 if the rule was broken, 0 if it held, else it couldn't run. */
final class Case {
    /** Judges one run; returns whether the rule held. */
    interface Run {
        boolean holds(Recording record, boolean trouble) throws Exception;
    }

    /** Not 1, with which a JVM ends that can't start; run.sh turns it into 1. */
    private static final int BROKEN = 10;

    private Case() { }

    /** Runs a case by its name and writes its record to a file. */
    public static void main(String[] args) throws Exception {
        Recording record = new Recording(Path.of(args[1]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record.say("case " + args[0] + (trouble ? "" : ", without the disruption"));
        Run run = switch (args[0]) {
            case "restart" -> DrainCases::restartWhileDiscoveryIsDown;
            case "reload" -> DrainCases::silentWatchAfterReload;
            case "outage" -> DrainCases::outageOfAskedDiscovery;
            case "memory" -> MemoryLimit::run;
            case "improper" -> ImproperRequests::run;
            default -> throw new IllegalArgumentException("unknown case " + args[0]);
        };
        int status;
        try {
            boolean held = run.holds(record, trouble);
            record.say(held ? "rule held" : "RULE BROKEN");
            status = held ? 0 : BROKEN;
        } catch (Exception e) {
            record.say("the case couldn't run: " + e);
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }
}
