package org.oleanderspring.coordination.dispatch.command;

import java.util.List;
import java.util.Map;
import org.oleanderspring.coordination.dispatch.ActiveValue;
import org.oleanderspring.coordination.dispatch.KeyHash;
import org.oleanderspring.coordination.dispatch.RecordState;

/**
 * A write of an active value whose outcome is not known yet.
 *
 * @param value the value written
 * @param claims the claims for which the value has new records, at most one for each key
 * @param outcomes the outcomes that were not stored before this write
 */
record WriteAttempt(
        ActiveValue value, List<WaitingClaim> claims, Map<KeyHash, RecordState> outcomes) {}
