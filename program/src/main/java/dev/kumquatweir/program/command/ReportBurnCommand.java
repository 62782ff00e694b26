package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import dev.kumquatweir.core.failure.FailureException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reports how fast each profile uses up the error budget of its objective. */
@Command(name = "burn", description = "Show whether the profiles meet their objectives")
@Examples(
        examples = "kumquatweir report burn --html burn.html",
        descriptions = "Shows the report and writes it as an HTML page with plots")
public final class ReportBurnCommand extends OperatorCommand {
    @Option(name = "--html", title = "FILE", description = "Also write the report as an HTML page")
    private String mHtml = "";

    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode report = client.get("burn");
        if (!mHtml.isEmpty()) {
            write(BurnPage.of(report));
        }
        if (!report.path("missing_instances").isEmpty()) {
            System.err.println("the counts do not include " + report.path("missing_instances"));
        }
        return print(report, BurnTable.rows(report));
    }

    private void write(String page) {
        try {
            Files.writeString(Path.of(mHtml), page);
        } catch (IOException exception) {
            throw new FailureException(
                    new ClientFailure.Input(
                            mHtml + " can't be written: " + exception, "choose another file"));
        }
    }
}
