package pondridge.sidecar;

import java.io.ByteArrayOutputStream;

/**
 * Finds the ends of JSON objects in a stream of bytes. An object may extend over several lines: it ends with
 * the line on which its last bracket is closed. A line without text is a message of its own.
 */
final class JsonFramer {
    /** What a byte has completed. */
    enum Frame {
        /** Nothing yet. */
        NONE,
        /** A line without text, outside of an object. */
        EMPTY_LINE,
        /** An object, or a line that is none; {@link #take} returns its bytes. */
        OBJECT,
        /** An empty line inside an object, as after one that was cut off, or too long an object. */
        INVALID
    }

    private static final int MAX_OBJECT_BYTES = 4 << 20;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    /** How many brackets are open. */
    private int depth;
    private boolean insideString;
    private boolean escaped;
    private boolean lineHasText;

    /** Takes over the next byte of the stream. */
    Frame add(byte next) {
        if (next == '\n') {
            return endOfLine();
        }
        lineHasText |= next > ' ' || next < 0;
        scan(next);
        bytes.write(next);
        return bytes.size() > MAX_OBJECT_BYTES ? Frame.INVALID : Frame.NONE;
    }

    private Frame endOfLine() {
        boolean hadText = lineHasText;
        lineHasText = false;
        if (depth > 0) {
            return hadText ? Frame.NONE : Frame.INVALID;
        }
        if (hadText) {
            return Frame.OBJECT;
        }
        bytes.reset();
        return Frame.EMPTY_LINE;
    }

    private void scan(byte next) {
        if (insideString) {
            scanString(next);
        } else if (next == '"') {
            insideString = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
        }
    }

    private void scanString(byte next) {
        if (escaped) {
            escaped = false;
        } else if (next == '\\') {
            escaped = true;
        } else if (next == '"') {
            insideString = false;
        }
    }

    /** Returns what has been received since the last message, and begins the next one. */
    byte[] take() {
        byte[] message = bytes.toByteArray();
        bytes.reset();
        depth = 0;
        insideString = false;
        lineHasText = false;
        return message;
    }

    /** Whether nothing has been received since the last message. */
    boolean isEmpty() {
        return bytes.size() == 0;
    }
}
