package dev.kumquatweir.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Salted SHA-256 hash of a key. Keys are random and long, so that one round of hashing suffices.
 * Immutable.
 *
 * @param salt salt as hexadecimal text
 * @param digest SHA-256 of salt bytes followed by the key in UTF-8, as hexadecimal text
 */
public record ApiKeyHash(String salt, String digest) {

    /**
     * Hashes a key.
     *
     * @param salt salt as hexadecimal text
     * @param key the key in clear text
     */
    public static ApiKeyHash of(String salt, String key) {
        return new ApiKeyHash(salt, HexFormat.of().formatHex(digest(salt, key)));
    }

    /**
     * Returns whether the key has this hash. Takes the same time wherever the first difference is.
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
