package org.oleanderspring.core.organisation;

/** What a quota counts. */
public enum QuotaUnit {
    /** Every request counts as one. */
    REQUESTS,

    /** A request counts as its tokens: those of its prompt and those that it may generate. */
    TOKENS
}
