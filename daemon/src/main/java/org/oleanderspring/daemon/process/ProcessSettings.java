package org.oleanderspring.daemon.process;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.FailureDomain;

/**
 * The checked settings of one daemon process.
 *
 * @param id the identity of this run of the daemon
 * @param failureDomain the failure domain of its VM
 * @param callerAddress where callers connect
 * @param operatorAddress where operators connect
 * @param peerAddress where other daemons connect
 * @param keyValueService the key-value service
 * @param vmList the VM list
 * @param weightStore the weight store
 * @param bodyLimitBytes the largest body of a call
 * @param stopLimit how long a planned stop may take before open streams are cut
 */
public record ProcessSettings(
        MemberId id,
        FailureDomain failureDomain,
        Address callerAddress,
        Address operatorAddress,
        Address peerAddress,
        URI keyValueService,
        URI vmList,
        URI weightStore,
        int bodyLimitBytes,
        Duration stopLimit) {
    /** Checks for missing parts and ranges. */
    public ProcessSettings {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(operatorAddress, "operatorAddress");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(keyValueService, "keyValueService");
        Objects.requireNonNull(vmList, "vmList");
        Objects.requireNonNull(weightStore, "weightStore");
        Objects.requireNonNull(stopLimit, "stopLimit");
        if (bodyLimitBytes < 1) {
            throw new IllegalArgumentException("body limit is not positive: " + bodyLimitBytes);
        }
    }
}
