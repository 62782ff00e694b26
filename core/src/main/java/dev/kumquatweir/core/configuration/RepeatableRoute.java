package dev.kumquatweir.core.configuration;

/**
 * Calls of a plain HTTP service that may be executed more than once. Immutable.
 *
 * @param method HTTP method in upper case
 * @param pathPrefix path prefix, with a leading slash
 */
public record RepeatableRoute(String method, String pathPrefix) {
    /**
     * Returns whether a call matches: same method, and the path equals the prefix or is below it.
     */
    public boolean matches(String callMethod, String callPath) {
        return method.equals(callMethod)
                && callPath.startsWith(pathPrefix)
                && (callPath.length() == pathPrefix.length()
                        || pathPrefix.endsWith("/")
                        || callPath.charAt(pathPrefix.length()) == '/'
                        || callPath.charAt(pathPrefix.length()) == '?');
    }
}
