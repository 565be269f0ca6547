package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects are maps, arrays are lists, numbers are Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    private void blanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        blanks();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            blanks();
            while (text.charAt(at) != '}') {
                String key = (String) value();
                blanks();
                at++; // the colon
                map.put(key, value());
                blanks();
                if (text.charAt(at) == ',') at++;
                blanks();
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            blanks();
            while (text.charAt(at) != ']') {
                list.add(value());
                blanks();
                if (text.charAt(at) == ',') at++;
                blanks();
            }
            at++;
            return list;
        }
        if (c == '"') {
            StringBuilder out = new StringBuilder();
            at++;
            while (text.charAt(at) != '"') {
                char d = text.charAt(at++);
                if (d != '\\') {
                    out.append(d);
                    continue;
                }
                char e = text.charAt(at++);
                switch (e) {
                    case 'n': out.append('\n'); break;
                    case 't': out.append('\t'); break;
                    case 'r': out.append('\r'); break;
                    case 'b': out.append('\b'); break;
                    case 'f': out.append('\f'); break;
                    case 'u':
                        out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                        break;
                    default: out.append(e);
                }
            }
            at++;
            return out.toString();
        }
        int start = at;
        while (at < text.length() && "+-.eE0123456789abcdefghijklmnopqrstuvwxyz".indexOf(text.charAt(at)) >= 0) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "true": return true;
            case "false": return false;
            case "null": return null;
            default: break;
        }
        if (word.matches("-?\\d+")) return Long.parseLong(word);
        return Double.parseDouble(word);
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(comma);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable) {
            out.append('[');
            String comma = "";
            for (Object item : (Iterable<?>) value) {
                out.append(comma);
                write(item, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
