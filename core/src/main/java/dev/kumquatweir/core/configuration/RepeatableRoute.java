package dev.kumquatweir.core.configuration;

/**
 * A call of a plain service that may be executed more than once. Immutable.
 *
 * @param method HTTP method in upper case
 * @param pathPrefix start of the path, with a leading slash
 */
public record RepeatableRoute(String method, String pathPrefix) {
    /** Returns whether a call falls under this route: same method, path equal or below. */
    public boolean matches(String callMethod, String callPath) {
        return method.equals(callMethod)
                && callPath.startsWith(pathPrefix)
                && (callPath.length() == pathPrefix.length()
                        || pathPrefix.endsWith("/")
                        || callPath.charAt(pathPrefix.length()) == '/'
                        || callPath.charAt(pathPrefix.length()) == '?');
    }
}
