package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.routing.Route;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.HttpRequestMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests by what requests count as the same. */
final class ForwardedRequestTest {
    /** Guards against rejecting a prompt for the crashes of another one with an equal body. */
    @Test
    void requestsWithEqualBodiesAndDifferentPromptsDiffer() {
        String first = request("a:800,b:250").contentHash();
        assertThat(request("a:800,b:250").contentHash(), is(first));
        assertThat(request("a:800,c:250").contentHash().equals(first), is(false));
    }

    private static ForwardedRequest request(String promptIdentity) {
        CallerRequestHead head =
                new CallerRequestHead(
                        "id",
                        "a.example",
                        "/a",
                        Optional.empty(),
                        OptionalLong.empty(),
                        0,
                        0,
                        0,
                        0,
                        -1,
                        List.of("a"),
                        promptIdentity);
        return new ForwardedRequest(
                head,
                HttpRequestMethod.POST,
                "/a",
                DefaultHttpHeadersFactory.INSTANCE.newHeaders(),
                Bytes.ofText("{}"),
                Route.builder("r", "a.example", "/").build(),
                new ServiceName("engines"),
                Optional.empty(),
                0,
                0);
    }
}
