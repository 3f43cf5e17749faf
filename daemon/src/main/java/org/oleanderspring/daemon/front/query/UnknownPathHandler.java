package org.oleanderspring.daemon.front.query;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.daemon.front.Refusal;

/** Refuses requests that no other handler has handled; the last handler of a listener. */
public final class UnknownPathHandler extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        JsonResponse.of(response, callback)
                .refuse(
                        Refusal.notRun(
                                ErrorMessage.UNKNOWN_PATH, Request.getPathInContext(request)));
        return true;
    }
}
