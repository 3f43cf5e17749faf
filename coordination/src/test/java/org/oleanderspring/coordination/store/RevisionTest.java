package org.oleanderspring.coordination.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.FencingToken;

class RevisionTest {
    private static final long HIGHEST = (1L << 40) - 1;

    /** Guards against a fencing token that falls when revisions are given out again. */
    @Test
    void tokenOfALaterEraIsHigher() {
        FencingToken earlier = FencingToken.of(new Revision(new StoreEra(3), HIGHEST));
        assertThat(FencingToken.of(new Revision(new StoreEra(4), 1)), greaterThan(earlier));
    }

    /** Guards against a changed token on deployments whose service names no era. */
    @Test
    void tokenWithoutAnEraIsTheRevision() {
        assertThat(FencingToken.of(new Revision(41)).value(), is(41L));
    }

    /** Guards against a token that a JSON parser with floating-point numbers rounds. */
    @Test
    void highestTokenIsAnExactFloatingPointNumber() {
        Revision highest = new Revision(new StoreEra(StoreEra.LIMIT), HIGHEST);
        assertThat(highest.ordinal(), lessThan(1L << 53));
    }
}
