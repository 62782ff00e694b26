package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import dev.kumquatweir.bench.BenchMain;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Runs the policy simulation in virtual time and prints its measurements. */
@Command(name = "bench", description = "Simulate the policy in virtual time, with fixed seeds")
@Examples(
        examples = "kumquatweir bench seconds=60 seed=1 user=kain-baru",
        descriptions = "Compares the policy with its baselines on the deployment of one user")
public final class BenchCommand implements Callable<Integer> {
    @Arguments(title = "NAME=VALUE", description = "Parameters of the simulation")
    private List<String> mArguments = new ArrayList<>();

    @Override
    public Integer call() {
        return BenchMain.run(mArguments.toArray(String[]::new), System.out);
    }
}
