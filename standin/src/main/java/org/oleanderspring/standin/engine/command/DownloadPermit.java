package org.oleanderspring.standin.engine.command;

/**
 * The answer of the weight store to a request for a permit.
 *
 * @param number the number of the permit; 0 if it was refused
 * @param slowdownPerMille by which factor the download takes longer, in thousandths
 */
record DownloadPermit(long number, long slowdownPerMille) {
    /** No permit. */
    static final DownloadPermit REFUSED = new DownloadPermit(0, 0);

    /** Stands for a download without a weight store, at full speed. */
    static final DownloadPermit UNRESTRICTED = new DownloadPermit(-1, 1_000);

    boolean isGranted() {
        return number != 0;
    }
}
