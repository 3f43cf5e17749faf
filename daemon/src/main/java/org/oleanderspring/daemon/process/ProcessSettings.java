package org.oleanderspring.daemon.process;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.FailureDomain;

/**
 * The validated settings of one daemon process.
 *
 * @param id the identity of this daemon process
 * @param failureDomain the failure domain of its VM
 * @param callerAddress the address on which the daemon listens for callers
 * @param operatorAddress the address on which it listens for operators
 * @param peerAddress the address on which it listens for other daemons, TCP and UDP
 * @param keyValueService the address of the key-value service
 * @param vmList the address of the VM list
 * @param weightStore the address of the weight store
 * @param bodyLimitBytes the maximum size of a call's body, in bytes; at least 1
 * @param stopLimit how long a planned stop waits for running calls before it cuts them off
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
    /** Rejects null and a body limit below 1. */
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
            throw new IllegalArgumentException(
                    "the body limit must be at least 1 byte, not " + bodyLimitBytes);
        }
    }
}
