package pondridge.testbed;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP request or response as read from a connection; header names are in lower case. Only bodies with a
 * {@code Content-Length} are read; the testbed receives no others.
 */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
    private static final int MAX_HEAD_BYTES = 1 << 16;
    private static final int STATUS_CODE_START = 9;
    private static final int STATUS_CODE_END = 12;

    /**
     * Reads one message.
     *
     * @return the message, or null if the connection ended before its first byte
     * @throws EOFException if the connection ended within the message
     */
    static HttpMessage read(InputStream in) throws IOException {
        String head = readHead(in);
        if (head == null) {
            return null;
        }
        String[] lines = head.split("\r\n");
        Map<String, String> headers = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) {
                headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                        lines[i].substring(colon + 1).trim());
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("connection ended within a body");
        }
        return new HttpMessage(lines[0], headers, body);
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int lineLength = 0;
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.write(next);
            if (next == '\n') {
                if (lineLength == 0) {
                    return head.toString(StandardCharsets.ISO_8859_1);
                }
                lineLength = 0;
            } else if (next != '\r') {
                lineLength++;
            }
            if (head.size() > MAX_HEAD_BYTES) {
                throw new IOException("head too large");
            }
        }
        if (head.size() > 0) {
            throw new EOFException("connection ended within a head");
        }
        return null;
    }

    /** Returns the status code of a response. */
    int status() {
        return Integer.parseInt(startLine.substring(STATUS_CODE_START, STATUS_CODE_END));
    }

    /** Returns a header's value, or null if the message does not have it. */
    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** Whether the sender announces that it closes the connection after this message. */
    boolean closesConnection() {
        return "close".equalsIgnoreCase(header("Connection"));
    }
}
