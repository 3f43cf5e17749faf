package org.oleanderspring.daemon.codec;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.Slot;

/**
 * Encodes and decodes plans as JSON. Identities are plain strings, so that the stored plans are
 * readable.
 */
public final class PlanCodec {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .addModule(new JavaTimeModule())
                    .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .addMixIn(MemberId.class, TextMixIn.class)
                    .addMixIn(ModelName.class, TextMixIn.class)
                    .addMixIn(EndpointId.class, TextMixIn.class)
                    .addMixIn(VmId.class, TextMixIn.class)
                    .addMixIn(CellName.class, TextMixIn.class)
                    .addMixIn(OrderId.class, TextMixIn.class)
                    .addMixIn(FencingToken.class, NumberMixIn.class)
                    .addMixIn(Checkpoint.class, CheckpointMixIn.class)
                    .addMixIn(Slot.class, SlotMixIn.class)
                    .build();

    private PlanCodec() {}

    /**
     * Encodes a plan.
     *
     * @param plan the plan
     * @return UTF-8 JSON
     */
    public static byte[] encode(Plan plan) {
        try {
            return MAPPER.writeValueAsBytes(plan);
        } catch (JsonProcessingException fault) {
            throw new IllegalStateException(
                    "could not encode plan number " + plan.number() + " of cell " + plan.cell(),
                    fault);
        }
    }

    /**
     * Decodes a plan. Rejects invalid JSON, missing mandatory fields, unknown fields, and anything
     * after the plan.
     *
     * @param bytes the encoded plan, UTF-8 JSON
     */
    public static DecodedDocument<Plan> decode(byte[] bytes) {
        try {
            Plan plan = MAPPER.readValue(bytes, Plan.class);
            return plan == null
                    ? new DecodedDocument.Malformed<>("the value is the JSON literal null")
                    : new DecodedDocument.Valid<>(plan);
        } catch (IOException | IllegalArgumentException malformed) {
            return new DecodedDocument.Malformed<>(String.valueOf(malformed.getMessage()));
        }
    }

    /** Encodes a type with one string component as a JSON string. */
    private abstract static class TextMixIn {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        TextMixIn(String value) {}

        @JsonValue
        abstract String value();
    }

    /** Encodes a type with one number component as a JSON number. */
    private abstract static class NumberMixIn {
        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        NumberMixIn(long value) {}

        @JsonValue
        abstract long value();
    }

    /** Omits the derived property, which has no field of its own. */
    @JsonAutoDetect(isGetterVisibility = JsonAutoDetect.Visibility.NONE)
    private abstract static class CheckpointMixIn {
        @JsonIgnore
        abstract boolean isAdapter();
    }

    /** Omits the derived property, which has no field of its own. */
    @JsonAutoDetect(isGetterVisibility = JsonAutoDetect.Visibility.NONE)
    private abstract static class SlotMixIn {
        @JsonIgnore
        abstract long memoryMegabytes();
    }
}
