package dev.kumquatweir.core.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ConfigurationDocumentTest {
    private static final String KEY = "lobby.team.secret-1";
    private static final Team TEAM =
            new Team(
                    new TeamName("lobby.team"),
                    ApiKeyHash.of("0a0b", KEY),
                    new ProfileName("quick"),
                    1);

    /** Guards against accepting an API key with the right team name and a wrong secret. */
    @Test
    void findsTheTeamOnlyForItsWholeKey() {
        ConfigurationDocument document =
                ConfigurationDocument.of(List.of(), List.of(TEAM), List.of());
        assertThat(document.teamOfKey(KEY).isPresent(), is(true));
        assertThat(document.teamOfKey("lobby.team.secret-2").isPresent(), is(false));
        assertThat(document.teamOfKey("lobby team.x").isPresent(), is(false));
        assertThat(document.teamOfKey("secret").isPresent(), is(false));
    }

    /** Guards against requests sent to a failure domain out of service or to a retired upstream. */
    @Test
    void withholdsWorkFromDomainsOutAndRetiredUpstreams() {
        UpstreamId upstream = new UpstreamId("engine-1");
        FailureDomain domain = new FailureDomain("klang-a");
        ConfigurationDocument document = ConfigurationDocument.EMPTY;
        assertThat(document.mayReceiveWork(upstream, domain), is(true));
        assertThat(
                document.withDomainsOutOfService(Set.of(domain)).mayReceiveWork(upstream, domain),
                is(false));
        assertThat(
                document.withRetiredUpstreams(Set.of(upstream)).mayReceiveWork(upstream, domain),
                is(false));
    }

    /** Guards against a prefix match that makes a call with side effects count as repeatable. */
    @Test
    void treatsUndeclaredCallsAsActions() {
        ServiceRoute route =
                new ServiceRoute(
                        new ServiceName("bookings"),
                        UpstreamKind.SERVICE,
                        new ProfileName("action"),
                        List.of(new RepeatableRoute("POST", "/search")));
        assertThat(route.repeatable("GET", "/slots"), is(true));
        assertThat(route.repeatable("POST", "/search/fabric"), is(true));
        assertThat(route.repeatable("POST", "/searched"), is(false));
        assertThat(route.repeatable("PUT", "/search"), is(false));
        assertThat(route.repeatable("POST", "/holds"), is(false));
    }
}
