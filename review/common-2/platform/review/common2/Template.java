package review.common2;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Renders the settings template of the deploy file: placeholders and sections of one value. */
final class Template {
    private static final Pattern SECTION =
            Pattern.compile("\\{\\{#([a-z_.0-9]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([a-z_.0-9]+)}}");

    private Template() {}

    static String render(String template, Map<String, String> values) {
        Matcher sections = SECTION.matcher(template);
        String flat =
                sections.replaceAll(
                        match -> {
                            String value = values.get(match.group(1));
                            return value == null
                                    ? ""
                                    : Matcher.quoteReplacement(
                                            match.group(2).replace("{{.}}", value));
                        });
        return VALUE.matcher(flat)
                .replaceAll(
                        match ->
                                Matcher.quoteReplacement(
                                        values.getOrDefault(match.group(1), "")));
    }
}
