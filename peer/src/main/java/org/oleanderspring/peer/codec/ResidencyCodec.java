package org.oleanderspring.peer.codec;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.runner.LoadedModel;
import org.oleanderspring.peer.generated.PeerProtocol;

/**
 * Encodes and decodes residency statements, which list the models that a runner holds. Sets of
 * names are encoded in sorted order, so that equal statements have equal bytes.
 */
final class ResidencyCodec {
    private ResidencyCodec() {}

    static PeerProtocol.ResidencyStatement encode(Residency residency) {
        PeerProtocol.ResidencyStatement.Builder statement =
                PeerProtocol.ResidencyStatement.newBuilder()
                        .setRunner(residency.runner().value())
                        .setTerm(residency.token().value())
                        .setNumber(residency.number())
                        .setOrders(residency.orders());
        for (LoadedModel model : residency.models()) {
            statement
                    .addModelsBuilder()
                    .setName(model.name().value())
                    .addAllAdapters(model.adapters().stream().sorted().toList());
        }
        residency.closing().stream().map(ModelName::value).sorted().forEach(statement::addClosing);
        return statement.build();
    }

    static Residency decode(PeerProtocol.ResidencyStatement statement) {
        if (statement.getRunner().isEmpty()) {
            throw new IllegalArgumentException("residency statement without a runner");
        }
        List<LoadedModel> models =
                statement.getModelsList().stream()
                        .map(
                                model ->
                                        new LoadedModel(
                                                new ModelName(model.getName()),
                                                new HashSet<>(model.getAdaptersList())))
                        .toList();
        Set<ModelName> closing = new HashSet<>();
        for (String name : statement.getClosingList()) {
            closing.add(new ModelName(name));
        }
        return new Residency(
                new EndpointId(statement.getRunner()),
                new FencingToken(statement.getTerm()),
                statement.getNumber(),
                statement.getOrders(),
                models,
                closing);
    }
}
