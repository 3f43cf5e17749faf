package org.oleanderspring.daemon.front.command;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.daemon.front.ReceivedAnswer;
import org.oleanderspring.daemon.front.ReceivedAnswer.Caller;
import org.oleanderspring.daemon.front.Refusal;

/** How responses end, which both front ends write through this class. */
class JettyResponseStreamTest {
    private static final String IP = "127.0.0.1";
    private static final String PART = "part";

    private Address mAddress;
    private HttpListener mListener;

    /** Responds as the path says. */
    private static final class RespondingHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            JettyResponseStream stream =
                    new JettyResponseStream(
                            response, callback, () -> {}, new WorkHeaderRefusalWriter());
            String path = request.getHttpURI().getPath();
            if (path.equals("/empty")) {
                stream.begin(204, List.of());
                stream.finish();
                return true;
            }
            stream.begin(200, List.of(new Header("X-Name", "v")));
            if (path.equals("/refused")) {
                stream.refuse(Refusal.notRun(ErrorMessage.OVERLOADED));
                return true;
            }
            boolean aborted = path.equals("/aborted");
            stream.write(
                    PART.getBytes(ISO_8859_1),
                    () -> {
                        if (aborted) {
                            stream.refuse(Refusal.notRun(ErrorMessage.OVERLOADED));
                            return;
                        }
                        stream.finish();
                    });
            return true;
        }
    }

    @BeforeEach
    void start() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
            mAddress = new Address(IP, socket.getLocalPort());
        }
        mListener = new HttpListener("test", mAddress, List.of(new RespondingHandler()));
        mListener.start();
    }

    @AfterEach
    void stop() throws Exception {
        mListener.close();
    }

    private ReceivedAnswer answer(Caller caller, String path) throws IOException {
        return ReceivedAnswer.to(mAddress, caller, path, "c1", 1);
    }

    @ParameterizedTest
    @EnumSource
    void onlyFinishedResponsesLookComplete(Caller caller) throws IOException {
        ReceivedAnswer finished = answer(caller, "/finished");
        assertThat(finished.toString(), finished.isComplete(), is(true));
        assertThat(finished.body(), is(PART));
        ReceivedAnswer aborted = answer(caller, "/aborted");
        assertThat(aborted.toString(), aborted.isComplete(), is(false));
    }

    /** Guards against fields of a response that was begun in the refusal that replaces it. */
    @ParameterizedTest
    @EnumSource
    void refusalReplacesAResponseThatHasNoBodyYet(Caller caller) throws IOException {
        ReceivedAnswer refused = answer(caller, "/refused");
        assertThat(refused.toString(), refused.isComplete(), is(true));
        assertThat(refused.head(), startsWith("HTTP/1.1 429"));
        assertThat(refused.head(), not(containsString("X-Name")));
        assertThat(refused.head(), not(containsString("chunked")));
    }

    /** Guards against chunks where a response has no body, which the next response would follow. */
    @Test
    void responseWithoutBodyHasNoChunks() throws IOException {
        for (String request : List.of("HEAD /finished", "GET /empty")) {
            try (Socket socket = new Socket(IP, mAddress.port())) {
                String last = "GET /empty HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
                String both = request + " HTTP/1.1\r\nHost: a\r\n\r\n" + last;
                socket.getOutputStream().write(both.getBytes(ISO_8859_1));
                String received = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
                String[] afterHeads = received.split("\r\n\r\n", -1);
                assertThat(received, afterHeads.length, is(3));
                assertThat(received, afterHeads[1], startsWith("HTTP/1.1 204"));
                assertThat(received, afterHeads[2], is(""));
            }
        }
    }
}
