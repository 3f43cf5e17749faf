package org.oleanderspring.daemon.placement.command;

import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.PlanWriteFailure;
import org.oleanderspring.core.placement.command.PlacementEvent;
import org.oleanderspring.daemon.codec.DecodedDocument;
import org.oleanderspring.daemon.codec.PlanCodec;

/** Maps replies of the key-value service about plans to placement events. */
final class PlanReplyMapper {
    private PlanReplyMapper() {}

    /**
     * Maps the reply to a read of a plan.
     *
     * @param cell the cell
     * @param result the reply
     */
    static PlacementInput ofRead(CellName cell, ReadResult result) {
        if (result instanceof ReadResult.Unavailable unavailable) {
            return new PlacementInput.PlanUnreadable(cell, unavailable.reason());
        }
        ReadResult.Found found = (ReadResult.Found) result;
        if (found.values().isEmpty()) {
            return new PlacementInput.PlanRead(cell, null, Revision.ABSENT);
        }
        StoredValue value = found.values().get(0);
        DecodedDocument<Plan> decoded = PlanCodec.decode(value.bytes());
        if (decoded instanceof DecodedDocument.Malformed<Plan> malformed) {
            return new PlacementInput.PlanUnreadable(cell, malformed.reason());
        }
        Plan plan = ((DecodedDocument.Valid<Plan>) decoded).value();
        return new PlacementInput.PlanRead(cell, plan, value.revision());
    }

    /**
     * Maps the reply to a write of a plan.
     *
     * @param plan the plan that was written
     * @param result the reply
     */
    static PlacementEvent ofWrite(Plan plan, WriteResult result) {
        if (result instanceof WriteResult.Written written) {
            return new PlacementEvent.PlanWritten(plan.mark(), written.revision());
        }
        return new PlacementEvent.PlanWriteFailed(plan.mark(), failure(result));
    }

    private static PlanWriteFailure failure(WriteResult result) {
        if (result instanceof WriteResult.Unavailable unavailable) {
            return new PlanWriteFailure.NotWritten(unavailable.reason());
        }
        if (result instanceof WriteResult.Conflict conflict) {
            return conflict(conflict);
        }
        return new PlanWriteFailure.OutcomeUnknown(((WriteResult.Unknown) result).reason());
    }

    private static PlanWriteFailure conflict(WriteResult.Conflict conflict) {
        StoredValue current = conflict.current();
        if (current == null) {
            return new PlanWriteFailure.Conflict(null, Revision.ABSENT);
        }
        DecodedDocument<Plan> decoded = PlanCodec.decode(current.bytes());
        if (decoded instanceof DecodedDocument.Malformed<Plan> malformed) {
            return new PlanWriteFailure.NotWritten(
                    "the stored plan cannot be decoded: " + malformed.reason());
        }
        Plan found = ((DecodedDocument.Valid<Plan>) decoded).value();
        return new PlanWriteFailure.Conflict(found, current.revision());
    }
}
