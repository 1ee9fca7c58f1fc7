package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP message as received: its first line, its headers by lower-case name, and its body. */
record Message(String firstLine, Map<String, String> headers, byte[] body) {

    /** Reads one message; returns null at the end of the stream before its first byte. */
    static Message read(InputStream in) throws IOException {
        String first = line(in, true);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            headers.put((colon < 0 ? line : line.substring(0, colon)).trim().toLowerCase(Locale.ROOT),
                    colon < 0 ? "" : line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in, false);
            }
            while (!line(in, false).isEmpty()) {
                continue;
            }
        } else if (headers.containsKey("content-length")) {
            body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
        }
        return new Message(first, headers, body.toByteArray());
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the stream ended within a message");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean first) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (first && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the stream ended within a message");
            }
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** The status of a response. */
    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }
}
