package org.oleanderspring.core.routing;

import java.util.Objects;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;

/** The model, adapter or service that a call requests. */
public sealed interface Target {
    /**
     * A model or adapter, identified by its name alone.
     *
     * @param model the name of the model or adapter
     */
    record ModelTarget(ModelName model) implements Target {
        /** Rejects a null name. */
        public ModelTarget {
            Objects.requireNonNull(model, "model");
        }

        @Override
        public String toString() {
            return "model " + model;
        }
    }

    /**
     * A plain service, which has no model engine.
     *
     * @param service the name of the service
     */
    record ServiceTarget(ServiceName service) implements Target {
        /** Rejects a null name. */
        public ServiceTarget {
            Objects.requireNonNull(service, "service");
        }

        @Override
        public String toString() {
            return "service " + service;
        }
    }

    /**
     * A model or adapter on the runners of one service.
     *
     * @param service the service
     * @param model the model or adapter
     */
    record ServiceModelTarget(ServiceName service, ModelReference model) implements Target {
        /** Rejects null components. */
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
