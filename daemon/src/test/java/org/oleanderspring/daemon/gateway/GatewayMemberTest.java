package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.directory.DaemonCapacity;
import org.oleanderspring.core.directory.DaemonListing;
import org.oleanderspring.core.fleet.FailureDomain;

class GatewayMemberTest {
    private static final Address FRONT = new Address("10.1.0.3", 8149);
    private static final FailureDomain DOMAIN = new FailureDomain("coast-a");

    /** Guards against a capacity that other daemons cannot read. */
    @Test
    void capacityIsReadFromTheId() {
        GatewayMember member =
                GatewayMember.of("vm-1", FRONT, DOMAIN, new DaemonCapacity(0.27, 17.5));
        assertThat(GatewayMember.parse(member.id()).orElseThrow(), equalTo(member));
        assertThat(
                member.listing(),
                equalTo(
                        new DaemonListing(
                                "10.1.0.3:8149", DOMAIN, new DaemonCapacity(0.27, 17.5))));
    }

    /** Guards against daemons of the previous version that are missing from the answers. */
    @Test
    void memberWithoutCapacityIsListed() {
        GatewayMember member =
                GatewayMember.parse(new MemberId("vm-1@10.1.0.3:8149")).orElseThrow();
        assertThat(member, equalTo(GatewayMember.of("vm-1", FRONT)));
        assertThat(member.listing().address(), equalTo("10.1.0.3:8149"));
        assertThat(member.listing().capacity(), nullValue());
    }

    /** Guards against an answer that fails because of one unreadable entry. */
    @Test
    void unreadableCapacityCountsAsUnknown() {
        for (String text : new String[] {"", "-", "1", "x-y", "0-5", "99999999999999999999-1"}) {
            MemberId id = new MemberId("vm-1@coast-a@" + text + "@10.1.0.3:8149");
            assertThat(GatewayMember.parse(id).orElseThrow().listing().capacity(), nullValue());
        }
    }
}
