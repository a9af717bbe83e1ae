package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
    private final String mText;
    private int mNext;

    private Json(String text) {
        mText = text;
    }

    static Map<String, Object> object(Object... keysAndValues) {
        Map<String, Object> object = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            object.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return object;
    }

    static Map<?, ?> read(String text) {
        return text.isBlank() ? Map.of() : (Map<?, ?>) new Json(text).value();
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> fields = new ArrayList<>();
            map.forEach((key, field) -> fields.add(quote((String) key) + ":" + write(field)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        }
        return value instanceof String text ? quote(text) : String.valueOf(value);
    }

    private static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private char peek() {
        while (Character.isWhitespace(mText.charAt(mNext))) {
            mNext++;
        }
        return mText.charAt(mNext);
    }

    private boolean skip(char expected) {
        boolean found = peek() == expected;
        mNext += found ? 1 : 0;
        return found;
    }

    private Object value() {
        if (skip('{')) {
            Map<String, Object> object = new LinkedHashMap<>();
            while (!skip('}')) {
                skip(',');
                peek();
                String key = string();
                skip(':');
                object.put(key, value());
            }
            return object;
        }
        if (skip('[')) {
            List<Object> list = new ArrayList<>();
            while (!skip(']')) {
                skip(',');
                list.add(value());
            }
            return list;
        }
        return peek() == '"' ? string() : literal();
    }

    private String string() {
        StringBuilder text = new StringBuilder();
        for (mNext++; mText.charAt(mNext) != '"'; mNext++) {
            if (mText.charAt(mNext) != '\\') {
                text.append(mText.charAt(mNext));
            } else if (mText.charAt(++mNext) == 'u') {
                text.append((char) Integer.parseInt(mText.substring(mNext + 1, mNext + 5), 16));
                mNext += 4;
            } else {
                text.append(mText.charAt(mNext));
            }
        }
        mNext++;
        return text.toString();
    }

    private Object literal() {
        int start = mNext;
        while (mNext < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mNext)) < 0) {
            mNext++;
        }
        String word = mText.substring(start, mNext);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.contains(".") ? (Object) Double.valueOf(word) : Long.valueOf(word);
        };
    }
}
