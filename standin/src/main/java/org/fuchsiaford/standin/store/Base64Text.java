package org.fuchsiaford.standin.store;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Text in base 64, as the store's protocol carries keys. Stateless, hence thread-safe. */
final class Base64Text {
    private Base64Text() {}

    static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }

    static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
