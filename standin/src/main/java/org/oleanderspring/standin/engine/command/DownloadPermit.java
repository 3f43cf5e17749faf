package org.oleanderspring.standin.engine.command;

/**
 * Reply of the weight store to a request for a download permit.
 *
 * @param number the permit number, at least 1; 0 if the permit was refused; -1 without a weight
 *     store
 * @param slowdownPerMille the factor on the download time, in thousandths; 1,000 is full speed
 */
record DownloadPermit(long number, long slowdownPerMille) {
    /** The reply if no permit was granted. */
    static final DownloadPermit REFUSED = new DownloadPermit(0, 0);

    /** The permit used without a weight store: granted, at full speed. */
    static final DownloadPermit UNRESTRICTED = new DownloadPermit(-1, 1_000);

    boolean isGranted() {
        return number != 0;
    }
}
