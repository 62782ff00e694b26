package dev.kumquatweir.transport;

import java.security.GeneralSecurityException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The secret that all instances of a cluster share. Immutable; never printed. */
public final class ClusterKey {
    /** Shortest key that is taken. */
    public static final int MINIMUM_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec mKey;

    private ClusterKey(SecretKeySpec key) {
        mKey = key;
    }

    /**
     * Copies a secret.
     *
     * @throws IllegalArgumentException if it is shorter than {@link #MINIMUM_BYTES}
     */
    public static ClusterKey of(byte[] secret) {
        if (secret.length < MINIMUM_BYTES) {
            throw new IllegalArgumentException(
                    "a cluster key has at least " + MINIMUM_BYTES + " bytes");
        }
        return new ClusterKey(new SecretKeySpec(secret, ALGORITHM));
    }

    byte[] authenticate(byte[] content) {
        try {
            Mac code = Mac.getInstance(ALGORITHM);
            code.init(mKey);
            return code.doFinal(content);
        } catch (GeneralSecurityException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
