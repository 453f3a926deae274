import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Map<String, Object> object(String text) {
        return asObject(new Json(text).value());
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> asObject(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> asList(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    private Object value() {
        skipBlanks();
        char next = text.charAt(at);
        if (next == '{') return map();
        if (next == '[') return list();
        if (next == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        return Double.valueOf(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != '}') {
            skipBlanks();
            String key = string();
            skipBlanks();
            at++;
            result.put(key, value());
            skipBlanks();
            if (text.charAt(at) == ',') at++;
            skipBlanks();
        }
        at++;
        return result;
    }

    private List<Object> list() {
        List<Object> result = new ArrayList<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != ']') {
            result.add(value());
            skipBlanks();
            if (text.charAt(at) == ',') at++;
            skipBlanks();
        }
        at++;
        return result;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next == '\\') {
                char escaped = text.charAt(at++);
                if (escaped == 'u') {
                    next = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                    at += 4;
                } else {
                    int index = "nrtbf".indexOf(escaped);
                    next = index < 0 ? escaped : "\n\r\t\b\f".charAt(index);
                }
            }
            result.append(next);
        }
        at++;
        return result.toString();
    }

    private void skipBlanks() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }
}
