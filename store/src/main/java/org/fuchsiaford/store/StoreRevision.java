package org.fuchsiaford.store;

/**
 * A revision of the store within one era. A store that is restored from an older copy begins a new
 * era, in which it assigns revision numbers again that it had already assigned after the copy.
 *
 * <p>Elsewhere a revision is a single number, its {@linkplain #ordered() ordered form}. It equals
 * the store's own number in the first era, rises with each change over all eras, and is exact for
 * readers of JSON with 53 bits up to era 8,192. Immutable.
 *
 * @param era the era, counted from {@link #FIRST_ERA}
 * @param number the number that the store assigned in this era
 */
public record StoreRevision(long era, long number) {
    /** The era of a store that has never been restored, or that names none. */
    public static final long FIRST_ERA = 1;

    /** Number of revisions for which the ordered form has room in each era. */
    private static final long NUMBERS_PER_ERA = 1L << 40;

    /** Creates a revision; an era below the first one counts as the first. */
    public StoreRevision {
        if (number < 0 || number >= NUMBERS_PER_ERA) {
            throw new IllegalArgumentException("revision out of range: " + number);
        }
        era = Math.max(FIRST_ERA, era);
    }

    /** Returns the revision with the given ordered form. */
    public static StoreRevision ofOrdered(long ordered) {
        return new StoreRevision(
                FIRST_ERA + Math.floorDiv(ordered, NUMBERS_PER_ERA),
                Math.floorMod(ordered, NUMBERS_PER_ERA));
    }

    /** Returns the era of the revision with the given ordered form. */
    public static long eraOf(long ordered) {
        return ofOrdered(ordered).era();
    }

    /** Returns this revision as a number that orders the revisions of all eras. */
    public long ordered() {
        return (era - FIRST_ERA) * NUMBERS_PER_ERA + number;
    }
}
