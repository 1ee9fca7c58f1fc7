package review;

/** Rules and limits of the site tvm-billing, with one tenant, one model and no messages between sidecars. */
public final class Settings {
    private Settings() { }

    /** A class of requests; times in milliseconds. */
    public static String requestClass(String name, String semantics, int sloMs, int deadlineMs, int keyTtlMs) {
        return "{\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"slo\":" + (sloMs * 1_000_000L)
                + ",\"deadline\":" + (deadlineMs * 1_000_000L) + ",\"keyScope\":\"cell\",\"keyTtl\":"
                + (keyTtlMs * 1_000_000L) + ",\"lateShare\":0.2,\"stream\":false,\"worth\":10.0}";
    }

    public static String of(int connectTimeoutMs, String... classes) {
        return "{\"discovery\":\"automatic\",\"quantum\":5000000,\"zones\":[\"dc1\"],\"kinds\":[\"m\"],"
                + "\"rank\":0,\"replicasOfMe\":2,\"tier\":0,\"zone\":0,\"serviceType\":\"mesh\","
                + "\"stages\":[\"credit-api\"],\"valueBy\":\"request\",\"weights\":\"rough\","
                + "\"report\":{\"how\":\"silent\",\"fields\":[]},\"clients\":{\"marksRetry\":false},"
                + "\"caps\":{\"mayCancel\":true,\"mayProbe\":false,\"peers\":false,\"parallelTries\":true,"
                + "\"retryAfter\":true,\"tryLimit\":5,\"maxRetryAfter\":2000000000,\"streamsPerConn\":1,"
                + "\"connIdle\":10000000000,\"connectTimeout\":" + (connectTimeoutMs * 1_000_000L) + "},"
                + "\"rules\":{\"answerSlack\":20000000,\"askWithin\":10000000000,\"coldShare\":0.13,"
                + "\"overloadFactor\":3.0,\"rampTime\":22000000000,\"stopSendingWithin\":250000000,"
                + "\"tipAfter\":2000000000},"
                + "\"parties\":[{\"name\":\"acme\",\"portion\":1.0,\"quotaRps\":300.0}],"
                + "\"profiles\":[" + String.join(",", classes) + "]}";
    }
}
