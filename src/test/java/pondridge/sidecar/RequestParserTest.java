package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.junit.jupiter.api.Test;

class RequestParserTest {
    /** Stack traces took most of the time of each invalid request; many such requests held up all clients. */
    @Test
    void invalidRequestsWereExpensive() throws Exception {
        Config config = Config.of(SidecarHarness.configJson());
        RequestParser parser = new RequestParser(config.settingsReader());
        MemoryBudget budget = new MemoryBudget(1 << 20, ImmediateEventExecutor.INSTANCE);
        ReceivedRequest request = new ReceivedRequest(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/a"), new byte[0],
                budget.openRequest(), ReceivedRequest.Failure.NONE);
        InvalidRequestException invalid =
                assertThrows(InvalidRequestException.class, () -> parser.parse(request, 0));
        assertEquals("missing Req-Id", invalid.getMessage());
        assertEquals(0, invalid.getStackTrace().length);
    }
}
