package org.oleanderspring.daemon.gateway.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.oleanderspring.duty.command.ByteBudget;

class EventStreamSplitterProperties {
    private static final long CAPACITY = 300_000;
    private static final String[] LINE_ENDS = {"\n", "\r\n", "\r"};

    /** Guards against events forwarded in part or lost, however the bytes are split into parts. */
    @Property(seed = "20261204", tries = 500)
    void onlyCompleteEventsAreReturned(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String end = LINE_ENDS[random.nextInt(LINE_ENDS.length)];
        StringBuilder stream = new StringBuilder();
        int events = random.nextInt(1, 8);
        for (int event = 1; event <= events; event++) {
            stream.append("id: ").append(event).append(end);
            stream.append("data: ").append("x".repeat(random.nextInt(9))).append(end).append(end);
        }
        String incompleteEvent = "id: " + (events + 1) + end + "data: y";
        byte[] bytes = (stream + incompleteEvent).getBytes(StandardCharsets.UTF_8);
        EventStreamSplitter splitter = new EventStreamSplitter(new ByteBudget(1 << 20));
        StringBuilder returned = new StringBuilder();
        String lastId = null;
        int position = 0;
        while (position < bytes.length) {
            int length = Math.min(random.nextInt(1, 12), bytes.length - position);
            byte[] part = new byte[length];
            System.arraycopy(bytes, position, part, 0, length);
            byte[] completeEvents = splitter.append(part);
            if (completeEvents.length > 0) {
                String id = EventStreamSplitter.lastId(completeEvents);
                lastId = id == null ? lastId : id;
                returned.append(new String(completeEvents, StandardCharsets.UTF_8));
            }
            position += length;
        }
        assertThat(returned.toString().strip(), is(stream.toString().strip()));
        assertThat(splitter.isInsideEvent(), is(true));
        assertThat(lastId, is(Integer.toString(events)));
    }

    /**
     * Guards against incomplete events of many calls that fill the memory together, and against
     * bytes that stay counted after their call.
     */
    @Property(seed = "20261205", tries = 200)
    void incompleteEventsOfAllCallsAreBounded(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ByteBudget budget = new ByteBudget(CAPACITY);
        List<EventStreamSplitter> open = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            if (open.isEmpty() || random.nextInt(8) == 0) {
                open.add(new EventStreamSplitter(budget));
            }
            int index = random.nextInt(open.size());
            EventStreamSplitter splitter = open.get(index);
            if (random.nextInt(10) == 0) {
                splitter.close();
                open.remove(index);
                continue;
            }
            byte[] part = "x".repeat(random.nextInt(20_000)).getBytes(StandardCharsets.UTF_8);
            splitter.append(part);
            if (random.nextInt(5) == 0) {
                splitter.append("\n\n".getBytes(StandardCharsets.UTF_8));
            }
            if (splitter.isEventTooLong()) {
                splitter.close();
                open.remove(index);
            }
            assertThat(
                    budget.held(),
                    is(both(greaterThanOrEqualTo(0L)).and(lessThanOrEqualTo(CAPACITY))));
        }
        open.forEach(EventStreamSplitter::close);
        assertThat(budget.held(), is(0L));
    }

    /** Guards against taking the data of an event for its id. */
    @Example
    void idIsFoundAtStartOfLineOnly() {
        byte[] events = "id: 4\ndata: id: 9\n\ndata: valid: 7\n\n".getBytes(StandardCharsets.UTF_8);
        assertThat(EventStreamSplitter.lastId(events), is("4"));
        byte[] withoutId = "data: a\n\n".getBytes(StandardCharsets.UTF_8);
        assertThat(EventStreamSplitter.lastId(withoutId), is(nullValue()));
    }
}
