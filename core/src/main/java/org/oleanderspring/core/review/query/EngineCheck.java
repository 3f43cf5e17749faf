package org.oleanderspring.core.review.query;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.review.Finding;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.ServiceDescription;

/** Finds models and adapters that no engine of their service can hold. */
final class EngineCheck implements ConfigurationCheck {
    @Override
    public List<Finding> check(FleetConfiguration configuration) {
        List<Finding> findings = new ArrayList<>();
        configuration.services().values().stream()
                .sorted(Comparator.comparing(service -> service.name().value()))
                .forEach(service -> check(service, findings));
        return findings;
    }

    private static void check(ServiceDescription service, List<Finding> findings) {
        EngineDescription engine = service.engine();
        if (engine == null) {
            return;
        }
        engine.models().values().stream()
                .sorted(Comparator.comparing(EngineModel::name))
                .forEach(model -> check(service, engine, model, findings));
    }

    private static void check(
            ServiceDescription service,
            EngineDescription engine,
            EngineModel model,
            List<Finding> findings) {
        String entry = "model " + model.name() + " of service " + service.name();
        if (model.weightMegabytes() > engine.memoryMegabytes()) {
            findings.add(
                    Finding.of(
                            ErrorMessage.MODEL_TOO_LARGE,
                            entry,
                            Double.toString(model.weightMegabytes()),
                            Double.toString(engine.memoryMegabytes())));
            return;
        }
        double withAdapter = model.weightMegabytes() + model.adapterMegabytes();
        boolean cannotHoldAdapter =
                engine.adapterSlots() == 0 || withAdapter > engine.memoryMegabytes();
        if (model.adapters() > 0 && cannotHoldAdapter) {
            findings.add(Finding.of(ErrorMessage.ADAPTERS_WITHOUT_ROOM, entry));
        }
    }
}
