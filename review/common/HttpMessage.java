package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A request or a response with a body of a stated length. Header names are compared without case. */
public record HttpMessage(String firstLine, Map<String, String> headers, byte[] body) {

    /** Reads one message; null if the stream ends before its first byte. */
    public static HttpMessage read(InputStream in) throws IOException {
        String firstLine = line(in);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
            if (line == null) {
                throw new EOFException("end within the head");
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("end within the body");
        }
        return new HttpMessage(firstLine, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("end within a line");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** The status of a response. */
    public int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }
}
