package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import dev.kumquatweir.standin.StandinService;
import dev.kumquatweir.standin.StandinServiceSettings;
import java.util.concurrent.Callable;

/** Runs a stand-in plain service until it receives SIGTERM. */
@Command(name = "service", description = "Run a stand-in plain service, for development")
@Examples(
        examples =
                "kumquatweir standin service --id bookings-1 --listen 127.0.0.1:9101 "
                        + "--domain klang-a --service bookings "
                        + "--announce-to 127.0.0.1:7201 --announce-key KEY",
        descriptions = "Runs one service that announces itself to one instance")
public final class StandinServiceCommand extends StandinCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        StandinServiceSettings settings =
                StandinServiceSettings.builder(id())
                        .listen(listen())
                        .failureDomain(domain())
                        .service(service())
                        .reports(reportSettings())
                        .build();
        StandinService service = new StandinService(settings, () -> Runtime.getRuntime().halt(137));
        service.start();
        return runUntilTerminated(service);
    }
}
