package org.oleanderspring.core.routing;

import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;

/** What a call asks for. */
public sealed interface Target {
    /**
     * A model or an adapter.
     *
     * @param model its name
     */
    record ModelTarget(ModelName model) implements Target {
        /** Checks for a missing name. */
        public ModelTarget {
            Objects.requireNonNull(model, "model");
        }

        @Override
        public String toString() {
            return "model " + model;
        }
    }

    /**
     * A plain service.
     *
     * @param service its name
     */
    record ServiceTarget(ServiceName service) implements Target {
        /** Checks for a missing name. */
        public ServiceTarget {
            Objects.requireNonNull(service, "service");
        }

        @Override
        public String toString() {
            return "service " + service;
        }
    }

    /**
     * A model or an adapter that runners of one service hold.
     *
     * @param service the service
     * @param model the model or adapter
     */
    record ServiceModelTarget(ServiceName service, ModelReference model) implements Target {
        /** Checks for missing parts. */
        public ServiceModelTarget {
            Objects.requireNonNull(service, "service");
            Objects.requireNonNull(model, "model");
        }

        @Override
        public String toString() {
            return "model " + model + " of " + service;
        }
    }
}
