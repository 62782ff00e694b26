package dev.kumquatweir.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Salted SHA-256 hash of an API key. API keys are long and random, so a single round of hashing is
 * enough. Immutable.
 *
 * @param salt salt as hexadecimal text
 * @param digest SHA-256 of the salt bytes followed by the API key in UTF-8, as hexadecimal text
 */
public record ApiKeyHash(String salt, String digest) {

    /**
     * Hashes an API key.
     *
     * @param salt salt as hexadecimal text
     * @param key the API key in clear text
     */
    public static ApiKeyHash of(String salt, String key) {
        return new ApiKeyHash(salt, HexFormat.of().formatHex(digest(salt, key)));
    }

    /**
     * Returns whether the API key has this hash. The comparison takes constant time, so that timing
     * does not reveal the position of the first difference.
     */
    public boolean matches(String key) {
        byte[] expected = digest.getBytes(StandardCharsets.US_ASCII);
        byte[] actual =
                HexFormat.of().formatHex(digest(salt, key)).getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(expected, actual);
    }

    private static byte[] digest(String salt, String key) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(HexFormat.of().parseHex(salt));
            return sha.digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every JDK provides SHA-256", exception);
        }
    }
}
