package org.oleanderspring.daemon.process;

import java.util.Objects;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.query.KeyValueQueries;
import org.oleanderspring.core.port.command.EndpointCommands;
import org.oleanderspring.core.port.command.RunnerCommands;
import org.oleanderspring.core.port.query.RunnerQueries;
import org.oleanderspring.core.port.query.VmListQueries;
import org.oleanderspring.core.port.query.WeightStoreQueries;

/**
 * The interfaces through which a daemon reaches the platform and the endpoints. Another protocol is
 * supported by another implementation of its interface.
 *
 * @param storeCommands changes the key-value service
 * @param storeQueries reads the key-value service
 * @param endpoints starts attempts of calls at endpoints
 * @param runnerCommands sends orders to runners
 * @param runnerQueries reads runners' reports
 * @param vmList reads the VM list
 * @param weightStore reads the catalogue of the weight store
 */
public record PlatformPorts(
        KeyValueCommands storeCommands,
        KeyValueQueries storeQueries,
        EndpointCommands endpoints,
        RunnerCommands runnerCommands,
        RunnerQueries runnerQueries,
        VmListQueries vmList,
        WeightStoreQueries weightStore) {
    /** Rejects null. */
    public PlatformPorts {
        Objects.requireNonNull(storeCommands, "storeCommands");
        Objects.requireNonNull(storeQueries, "storeQueries");
        Objects.requireNonNull(endpoints, "endpoints");
        Objects.requireNonNull(runnerCommands, "runnerCommands");
        Objects.requireNonNull(runnerQueries, "runnerQueries");
        Objects.requireNonNull(vmList, "vmList");
        Objects.requireNonNull(weightStore, "weightStore");
    }
}
