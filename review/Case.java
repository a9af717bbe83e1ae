package review;

import java.io.IOException;
import java.nio.file.Path;

/** The frame of a case: exits with 1 if the rule was broken, 0 if it held, 2 if it cannot run. */
abstract class Case {
    private static final int MAX_SECONDS = 115;

    private CaseRecord mRecord;
    private Path mRoot;

    /** Plays the case; returns whether the rule was broken. */
    abstract boolean isBroken(boolean trouble) throws IOException;

    CaseRecord record() {
        return mRecord;
    }

    Deployment deployment(int hosts) throws IOException {
        return new Deployment(mRoot, mRecord, hosts);
    }

    /** Runs the case. The arguments are the repository and the folder of the case. */
    void play(String[] arguments) {
        Threads.start(
                () -> {
                    Thread.sleep(MAX_SECONDS * 1_000);
                    System.exit(2);
                });
        int exit = 2;
        try {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            mRoot = Path.of(arguments[0]);
            mRecord =
                    new CaseRecord(
                            Path.of(arguments[1])
                                    .resolve(trouble ? "record.txt" : "record-calm.txt"));
            mRecord.line("the disruption is %s", trouble ? "played" : "left out (TROUBLE=0)");
            boolean broken = isBroken(trouble);
            mRecord.line("the rule %s", broken ? "WAS BROKEN" : "held");
            mRecord.close();
            exit = broken ? 1 : 0;
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }
}
