package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String mText;
    private int mPosition;

    private Json(String text) {
        mText = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    /** Returns a map of alternating keys and values. */
    static Map<String, Object> map(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int index = 0; index < keysAndValues.length; index += 2) {
            map.put((String) keysAndValues[index], keysAndValues[index + 1]);
        }
        return map;
    }

    static long number(Map<String, Object> map, String key, long defaultValue) {
        return map.get(key) instanceof Number number ? number.longValue() : defaultValue;
    }

    static String write(Object value) {
        StringBuilder text = new StringBuilder();
        append(text, value);
        return text.toString();
    }

    private static void append(StringBuilder text, Object value) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                text.append(separator);
                append(text, String.valueOf(entry.getKey()));
                text.append(':');
                append(text, entry.getValue());
                separator = ",";
            }
            text.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof Iterable<?> list) {
            text.append('[');
            String separator = "";
            for (Object element : list) {
                text.append(separator);
                append(text, element);
                separator = ",";
            }
            text.append(']');
        } else if (value instanceof Number || value instanceof Boolean || value == null) {
            text.append(value);
        } else {
            text.append('"');
            for (char next : value.toString().toCharArray()) {
                if (next == '"' || next == '\\') {
                    text.append('\\').append(next);
                } else if (next < ' ') {
                    text.append(String.format("\\u%04x", (int) next));
                } else {
                    text.append(next);
                }
            }
            text.append('"');
        }
    }

    private Object value() {
        skipSpace();
        char next = mText.charAt(mPosition);
        if (next == '{') {
            return object();
        }
        if (next == '[') {
            return list();
        }
        if (next == '"') {
            return string();
        }
        int start = mPosition;
        while (mPosition < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mPosition)) < 0) {
            mPosition++;
        }
        String word = mText.substring(start, mPosition);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> map = new LinkedHashMap<>();
        mPosition++;
        while (!takes('}')) {
            skipSpace();
            String key = string();
            takes(':');
            map.put(key, value());
            takes(',');
        }
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        mPosition++;
        while (!takes(']')) {
            list.add(value());
            takes(',');
        }
        return list;
    }

    private String string() {
        StringBuilder text = new StringBuilder();
        mPosition++;
        while (mText.charAt(mPosition) != '"') {
            char next = mText.charAt(mPosition++);
            if (next == '\\') {
                next = mText.charAt(mPosition++);
                if (next == 'u') {
                    next = (char) Integer.parseInt(mText.substring(mPosition, mPosition + 4), 16);
                    mPosition += 4;
                } else if (next == 'n') {
                    next = '\n';
                }
            }
            text.append(next);
        }
        mPosition++;
        return text.toString();
    }

    private boolean takes(char expected) {
        skipSpace();
        if (mText.charAt(mPosition) != expected) {
            return false;
        }
        mPosition++;
        return true;
    }

    private void skipSpace() {
        while (mPosition < mText.length() && mText.charAt(mPosition) <= ' ') {
            mPosition++;
        }
    }
}
