import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer; objects are maps, arrays are lists, numbers are doubles or longs. */
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

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') return object();
        if (c == '[') return array();
        if (c == '"') return string();
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        switch (word) {
            case "true": return true;
            case "false": return false;
            case "null": return null;
            default:
                return word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
        }
    }

    private Map<String, Object> object() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        skip();
        while (text.charAt(at) != '}') {
            skip();
            String name = string();
            skip();
            at++;
            map.put(name, value());
            skip();
            if (text.charAt(at) == ',') at++;
            skip();
        }
        at++;
        return map;
    }

    private List<Object> array() {
        List<Object> list = new ArrayList<>();
        at++;
        skip();
        while (text.charAt(at) != ']') {
            list.add(value());
            skip();
            if (text.charAt(at) == ',') at++;
            skip();
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder read = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                read.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n': read.append('\n'); break;
                case 'r': read.append('\r'); break;
                case 't': read.append('\t'); break;
                case 'b': read.append('\b'); break;
                case 'f': read.append('\f'); break;
                case 'u':
                    read.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: read.append(escaped);
            }
        }
        at++;
        return read.toString();
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    static String quote(String text) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }
}
