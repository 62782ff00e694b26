package dev.kumquatweir.standin.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.jspecify.annotations.NullMarked;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

@NullMarked
class EngineModelTest {
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;
    private static final EngineLimits LIMITS =
            new EngineLimits(10_000, 2, 2, 1_000, false, 0, 1_000);

    private final EngineModel mModel =
            new EngineModel(LIMITS, EngineSpeed.USUAL, List.of("model-a"));
    private long mNow;

    @Test
    void eachAnswerBelongsToItsOwnPromptWithoutGaps() {
        submit("a", "question", 20);
        submit("b", "another question", 20);
        List<EngineEvent> events = run(SECOND * 5);

        assertThat(text(events, "a"), is(answer("question", 20)));
        assertThat(text(events, "b"), is(answer("another question", 20)));
    }

    @Test
    void resumedAnswerNeitherRepeatsNorSkipsTokensAtTheOffset() {
        String first = answer("question", 7);
        submit(request("a", "question", 20, 5, 0, new GenerateRequest.Resume(7, first)));
        List<EngineEvent> events = run(SECOND * 5);

        assertThat(first + text(events, "a"), is(answer("question", 20)));
        assertThat(events, hasItem(new EngineEvent.Finished("a", "length", 2, 0, 20)));
    }

    @Test
    void resumeFromAnotherAnswersTextIsRefused() {
        GenerateRequest.Resume resume = new GenerateRequest.Resume(3, answer("other", 3));
        assertThat(
                mModel.submit(request("a", "question", 20, 5, 0, resume), mNow).getLeft(),
                is(EngineRefusal.RESUME_MISMATCH));
    }

    @Test
    void eachWayOfEndingFreesTheMemory() {
        submit("finished", "question", 2);
        submit("cancelled", "question", 900);
        submit(request("overdue", "question", 900, 5, 100, null));
        submit("prefill-only", "question", 0);
        run(100 * MILLI);
        assertThat(mModel.load().memoryUsedTokens(), greaterThan(0L));
        mModel.cancel("cancelled");
        run(SECOND * 60);

        assertThat(mModel.load().memoryUsedTokens(), is(0L));
        assertThat(mModel.heldMemory().keySet(), is(Set.of()));
    }

    @Test
    void requestIsRefusedBeforeItOverbooksTheMemory() {
        submit("a", prompt("a", 6_000), 100);
        assertThat(refusal("b", prompt("b", 6_000), "model-a"), is(EngineRefusal.MEMORY_FULL));
        assertThat(refusal("a", "x", "model-a"), is(EngineRefusal.DUPLICATE_ATTEMPT));
        assertThat(refusal("c", "x", "model-x"), is(EngineRefusal.UNKNOWN_MODEL));
    }

    @Test
    void urgentRequestDoesNotWaitForTheWholePrefillOfLongOnes() {
        submit(request("long", prompt("long", 8_000), 1, 1, 0, null));
        submit(request("short", "question", 1, 9, 0, null));
        List<EngineEvent> events = run(SECOND * 5);

        assertThat(
                events.stream()
                        .filter(event -> event instanceof EngineEvent.Finished)
                        .map(event -> ((EngineEvent.Finished) event).attempt())
                        .toList(),
                contains("short", "long"));
    }

    @Test
    void fullBatchTakesTheMostUrgentWaitingRequestNext() {
        submit(request("first", "question", 100, 1, 0, null));
        submit(request("second", "question", 100, 1, 0, null));
        run(100 * MILLI);
        submit(request("low", "question", 1, 1, 0, null));
        submit(request("high", "question", 1, 9, 0, null));
        assertThat(mModel.load().queued(), is(2));
        List<EngineEvent> events = run(SECOND * 20);

        assertThat(position(events, "high"), lessThan(position(events, "low")));
    }

    @Test
    void cachedPrefixIsNotProcessedAgainAndEvictionIsReported() {
        submit(cached("a", 4_096, 0));
        run(SECOND * 5);
        submit(cached("b", 4_096, 0));
        List<EngineEvent> second = run(SECOND * 5);
        assertThat(second, hasItem(new EngineEvent.Finished("b", "length", 4_096, 4_096, 1)));
        assertThat(mModel.takeCacheChanges().size(), is(16));

        submit(cached("c", 8_192, 1_000));
        run(SECOND * 5);
        assertThat(
                mModel.takeCacheChanges().stream().map(CacheChange::operation).toList(),
                hasItem(CacheChange.EVICTED));
        assertThat(mModel.cacheEntries().size() * 256L, lessThan(10_001L));
    }

    @Test
    void coldEngineCrashesUnderMoreThanItsLimitAndLosesEverything() {
        mModel.setCold(true, mNow);
        submit("a", "question", 10);
        submit("b", "question", 10);
        submit("c", "question", 10);

        assertThat(run(SECOND), hasItem(new EngineEvent.Crashed("cold_overload")));
        assertThat(mModel.load().memoryUsedTokens(), is(0L));
    }

    @Test
    void coldEngineIsSlowerThanWarmEngine() {
        mModel.setCold(true, mNow);
        submit("a", "question", 100);
        int cold = run(SECOND).size();
        mModel.setCold(false, mNow);
        int warm = run(SECOND).size();

        assertThat(warm, greaterThan(cold * 4));
    }

    @Test
    void crashContentKillsOnlyWhereItRuns() {
        mModel.faults().crashOn("poison");
        submit("neighbour", "question", 900);
        assertThat(run(SECOND).size(), greaterThan(0));
        submit("culprit", "some poison here", 10);

        assertThat(run(SECOND), hasItem(new EngineEvent.Crashed("content")));
    }

    /** Guards against a crash that comes in the prefill or that spares an answer that has begun. */
    @Test
    void crashOnAnswerComesInPlaceOfTheFirstToken() {
        mModel.faults().crashOnAnswer("poison");
        String prompt = prompt("some poison before the last message ", 2_000);
        submit("culprit", prompt, 10);
        assertThat(run(10 * MILLI), is(List.of()));
        assertThat(mModel.load().prefillBacklogTokens(), greaterThan(0L));
        assertThat(run(5 * SECOND), is(List.of(new EngineEvent.Crashed("content"))));
    }

    @Test
    void promptBeyondTwiceOneEnginesMemoryRunsOverExportsOfOthers() {
        String whole = prompt("whole", 25_000);
        assertThat(refusal("too-long", whole, "model-a"), is(EngineRefusal.MEMORY_FULL));
        List<String> handles = new ArrayList<>();
        List<EngineModel> partners = new ArrayList<>();
        for (int part = 1; part <= 2; part++) {
            EngineModel partner = new EngineModel(LIMITS, EngineSpeed.USUAL, List.of("model-a"));
            handles.forEach(handle -> partner.include(new KvHandle(handle, 9_000)));
            String prompt = whole.substring(0, part * 9_000 * 4);
            partner.submit(split("part-" + part, prompt, 0, handles), mNow).get();
            drive(partner, SECOND * 3 / 2);
            handles.add(partner.export("part-" + part).get().handle());
            partners.add(partner);
        }
        partners.forEach(partner -> assertThat(partner.load().memoryUsedTokens(), is(9_000L)));

        handles.forEach(handle -> mModel.include(new KvHandle(handle, 9_000)));
        submit(split("rest", whole, 5, handles));
        assertThat(text(run(SECOND * 2), "rest"), is(answer(whole, 5)));
        partners.forEach(partner -> handles.forEach(partner::release));
        partners.forEach(partner -> assertThat(partner.load().memoryUsedTokens(), is(0L)));
    }

    @Test
    void forgottenExportIsListedAndHoldsItsMemoryUntilItIsReleased() {
        submit("a", prompt("a", 5_000), 0);
        run(SECOND / 2);
        KvHandle handle = mModel.export("a").get();
        run(SECOND * 60);

        assertThat(mModel.exports(), contains(handle));
        assertThat(refusal("b", prompt("b", 6_000), "model-a"), is(EngineRefusal.MEMORY_FULL));
    }

    @Test
    void pauseOfTheProcessIsNotFollowedByBurst() {
        submit("a", "question", 900);
        run(SECOND);
        mNow += 60 * SECOND;

        assertThat(mModel.advance(mNow).size(), lessThan(20));
    }

    private void submit(String attempt, String prompt, long maxTokens) {
        submit(request(attempt, prompt, maxTokens, 5, 0, null));
    }

    private void submit(GenerateRequest request) {
        assertThat(mModel.submit(request, mNow).isRight(), equalTo(true));
    }

    private EngineRefusal refusal(String attempt, String prompt, String model) {
        GenerateRequest request =
                new GenerateRequest(attempt, model, prompt, 10, 5, 0, List.of(), null, List.of());
        return mModel.submit(request, mNow).getLeft();
    }

    private List<EngineEvent> run(long nanos) {
        List<EngineEvent> events = drive(mModel, nanos);
        mNow += nanos;
        return events;
    }

    private List<EngineEvent> drive(EngineModel model, long nanos) {
        List<EngineEvent> events = new ArrayList<>();
        for (long at = mNow; at <= mNow + nanos; at += MILLI) {
            events.addAll(model.advance(at));
        }
        return events;
    }

    private static GenerateRequest request(
            String attempt,
            String prompt,
            long maxTokens,
            int priority,
            long deadlineMillis,
            GenerateRequest.@Nullable Resume resume) {
        return new GenerateRequest(
                attempt,
                "model-a",
                prompt,
                maxTokens,
                priority,
                deadlineMillis,
                List.of(),
                resume,
                List.of());
    }

    private static GenerateRequest split(
            String attempt, String prompt, long maxTokens, List<String> handles) {
        return new GenerateRequest(
                attempt, "model-a", prompt, maxTokens, 5, 0, List.of(), null, handles);
    }

    private static GenerateRequest cached(String attempt, int tokens, long firstHash) {
        List<Long> hashes = LongStream.range(firstHash, firstHash + tokens / 256).boxed().toList();
        String prompt = prompt("same", tokens);
        return new GenerateRequest(attempt, "model-a", prompt, 1, 5, 0, hashes, null, List.of());
    }

    private static String prompt(String word, int tokens) {
        return (word + " ").repeat(tokens * 4).substring(0, tokens * 4);
    }

    private static String answer(String prompt, long tokens) {
        return StandinTokens.answer(StandinTokens.seed(prompt), tokens);
    }

    private static String text(List<EngineEvent> events, String attempt) {
        StringBuilder text = new StringBuilder();
        for (EngineEvent event : events) {
            if (event instanceof EngineEvent.Token token && token.attempt().equals(attempt)) {
                text.append(token.text());
            }
        }
        return text.toString();
    }

    private static int position(List<EngineEvent> events, String attempt) {
        return events.indexOf(
                events.stream()
                        .filter(
                                event ->
                                        event instanceof EngineEvent.Finished finished
                                                && finished.attempt().equals(attempt))
                        .findFirst()
                        .orElseThrow());
    }
}
