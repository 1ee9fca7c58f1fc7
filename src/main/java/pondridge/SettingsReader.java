package pondridge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import pondridge.Balancer.Capabilities;
import pondridge.Balancer.Costs;
import pondridge.Balancer.DiscoveryMode;
import pondridge.Balancer.KeyScope;
import pondridge.Balancer.Limits;
import pondridge.Balancer.RequestClass;
import pondridge.Balancer.Semantics;
import pondridge.Balancer.Settings;
import pondridge.Balancer.Tenant;
import pondridge.Balancer.WeightMode;

/**
 * Reads the settings of a balancer, for all hosts: parses lines of the form {@code key=value} into
 * {@link Settings}, and gives hosts access to values that only they need, such as names and connection
 * limits. Unknown keys are ignored. A missing or invalid value causes an {@link IllegalArgumentException}
 * that names its key.
 */
public final class SettingsReader {
    private final Map<String, String> values = new HashMap<>();

    /** Parses the text, one {@code key=value} per line; lines without an equals sign are ignored. */
    public SettingsReader(String text) {
        for (String line : text.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(line.substring(0, separator).trim(), line.substring(separator + 1).trim());
            }
        }
    }

    /** The settings of the balancer. */
    public Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        int classCount = (int) required("profiles.count");
        for (int i = 0; i < classCount; i++) {
            classes.add(requestClass("profiles." + i + "."));
        }
        List<Tenant> tenants = new ArrayList<>();
        int tenantCount = (int) number("parties.count", 0);
        for (int i = 0; i < tenantCount; i++) {
            String prefix = "parties." + i + ".";
            tenants.add(new Tenant(number(prefix + "portion", 0), number(prefix + "quotaRps", 0)));
        }
        return new Settings((int) number("rank", 0), (int) number("replicasOfMe", 1), (int) number("zone", 0),
                (long) number("quantum", 0),
                enumValue(DiscoveryMode.class, "discovery", DiscoveryMode.AUTOMATIC),
                enumValue(WeightMode.class, "weights", WeightMode.SILENT), classes, tenants,
                capabilities(), limits(), list("report.fields"),
                new Costs(number("charges.probe", 0), number("charges.peer", 0)),
                "work".equals(values.get("valueBy")), number("overShareWorth", 1));
    }

    private RequestClass requestClass(String prefix) {
        Semantics semantics = enumValue(Semantics.class, prefix + "semantics", null);
        return new RequestClass((long) required(prefix + "slo"), number(prefix + "aimStretch", 0),
                (long) required(prefix + "deadline"), number(prefix + "worth", 1),
                number(prefix + "lateShare", 0), semantics,
                enumValue(KeyScope.class, prefix + "keyScope", KeyScope.CELL),
                (long) number(prefix + "keyTtl", 0), flag(prefix + "stream"));
    }

    private Capabilities capabilities() {
        return new Capabilities(flag("caps.mayCancel"), flag("caps.mayProbe"), flag("caps.peers"),
                flag("caps.parallelTries"), flag("caps.retryAfter"), (int) number("caps.tryLimit", 1),
                (long) number("caps.maxRetryAfter", 0), (long) number("caps.connectTimeout", 0));
    }

    private Limits limits() {
        return new Limits((long) required("rules.answerSlack"), (long) number("rules.askWithin", 0),
                (long) required("rules.stopSendingWithin"), required("rules.coldShare"),
                (long) required("rules.rampTime"), required("rules.overloadFactor"),
                (long) required("rules.tipAfter"));
    }

    /** The names of the objects in a list, in their order; an object without a name is named by its index. */
    public List<String> names(String key) {
        List<String> names = new ArrayList<>();
        int count = (int) number(key + ".count", 0);
        for (int i = 0; i < count; i++) {
            names.add(values.getOrDefault(key + "." + i + ".name", Integer.toString(i)));
        }
        return names;
    }

    /** A list of comma-separated values; empty if the key is missing. */
    public List<String> list(String key) {
        String text = values.getOrDefault(key, "");
        return text.isEmpty() ? List.of() : List.of(text.split(","));
    }

    private boolean flag(String key) {
        return "true".equals(values.get(key));
    }

    private double required(String key) {
        if (!values.containsKey(key)) {
            throw new IllegalArgumentException("setting missing: " + key);
        }
        return number(key, 0);
    }

    /** A number; {@code defaultValue} if the key is missing or its value is empty. */
    public double number(String key, double defaultValue) {
        String text = values.get(key);
        if (text == null || text.isEmpty()) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting is not a number: " + key + "=" + text);
        }
    }

    /** An enum value, in any letter case. Without a {@code defaultValue} (null) the key is required. */
    private <E extends Enum<E>> E enumValue(Class<E> type, String key, E defaultValue) {
        String text = values.get(key);
        if (text == null) {
            if (defaultValue == null) {
                throw new IllegalArgumentException("setting missing: " + key);
            }
            return defaultValue;
        }
        try {
            return Enum.valueOf(type, text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("setting has an unknown value: " + key + "=" + text);
        }
    }
}
