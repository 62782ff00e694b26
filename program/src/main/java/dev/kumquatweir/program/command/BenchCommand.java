package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import dev.kumquatweir.bench.BenchMain;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Measures the policy in virtual time. */
@Command(name = "bench", description = "Measure the policy in virtual time, with fixed seeds")
@Examples(
        examples = "kumquatweir bench seconds=60 seed=1 user=kain-baru",
        descriptions = "Compares the policy with its baselines on one user's deployment")
public final class BenchCommand implements Callable<Integer> {
    @Arguments(title = "NAME=VALUE", description = "Arguments of the bench")
    private List<String> mArguments = new ArrayList<>();

    @Override
    public Integer call() {
        return BenchMain.run(mArguments.toArray(String[]::new), System.out);
    }
}
