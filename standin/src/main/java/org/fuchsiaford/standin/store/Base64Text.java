package org.fuchsiaford.standin.store;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Converts keys to and from the Base64 encoding of the store's protocol. Thread-safe. */
final class Base64Text {
    private Base64Text() {}

    static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
