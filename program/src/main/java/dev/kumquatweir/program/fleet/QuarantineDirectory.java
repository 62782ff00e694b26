package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.policy.placement.PlacementScheduler;
import dev.kumquatweir.policy.placement.QuarantinedPart;
import dev.kumquatweir.policy.placement.RecordedCrash;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Verdicts on parts of prompts, and crashes of upstreams on one content, that are known to this
 * process, with the times of their last crash or withdrawal on its own monotonic clock. Every
 * instance keeps one, so that quarantines outlive the scheduler that decided on them. Not
 * thread-safe, except for the count.
 *
 * <p>Of two verdicts on one part, the one with the higher stamp holds. A scheduler stamps its
 * verdict with its wall clock, or just above the verdict that it replaces if that is higher, so
 * that a withdrawal prevails over the quarantine that it withdraws on machines whose clocks differ.
 * An entry stays for some time after its retention, so that a copy elsewhere that ends a little
 * later doesn't revive it.
 */
final class QuarantineDirectory {
    private static final EventLog LOG = EventLog.of(QuarantineDirectory.class);

    /** Time since the last crash after which a part is no longer quarantined. */
    static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(60);

    static final int MAXIMUM_PARTS = 256;

    /** Time since the last crash on a content after which its crashes are forgotten. */
    static final long CRASH_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    static final int MAXIMUM_CRASHES = 768;
    static final int MAXIMUM_PART_LENGTH = 256;

    /** A crash that is later by less is not published, so that each crash is not a message. */
    private static final long REFRESH_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Entry> mParts = new LinkedHashMap<>();
    private final Map<String, Entry> mCrashes = new LinkedHashMap<>();
    private long mRevision;
    private volatile int mQuarantinedCount;

    private record Entry(String part, long stamp, boolean cleared, long eventNanos, long revision) {
        boolean retained(long nowNanos) {
            return nowNanos - eventNanos < retentionNanos(part);
        }

        boolean removable(long nowNanos) {
            return nowNanos - eventNanos >= 2 * retentionNanos(part);
        }

        boolean quarantined(long nowNanos) {
            return !cleared && retained(nowNanos);
        }

        long ageMillis(long nowNanos) {
            return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - eventNanos));
        }

        QuarantineVerdict verdict(long nowNanos) {
            return new QuarantineVerdict(part, stamp, cleared, ageMillis(nowNanos));
        }
    }

    /**
     * Merges the verdicts that another instance knows.
     *
     * @return the verdicts that are new here
     */
    List<QuarantineVerdict> merge(
            InstanceId peer, List<QuarantineVerdict> verdicts, long nowNanos) {
        List<QuarantineVerdict> learned =
                verdicts.stream().filter(verdict -> store(verdict, nowNanos)).toList();
        learned.forEach(
                verdict ->
                        LOG.info(
                                "quarantine_learned",
                                "part",
                                verdict.part(),
                                "peer",
                                peer,
                                "cleared",
                                verdict.cleared(),
                                "age_ms",
                                verdict.ageMillis()));
        if (!learned.isEmpty()) {
            updateCount(nowNanos);
        }
        return learned;
    }

    /**
     * Takes over the verdicts of the leader's scheduler. It knows all that is quarantined here:
     * what it no longer reports, it has withdrawn.
     *
     * @param parts parts that the scheduler has in quarantine
     * @param crashes crashes of contents that may crash further upstreams
     * @param wallMillis present time of the wall clock
     * @return whether anything has changed
     */
    boolean update(
            List<QuarantinedPart> parts,
            List<RecordedCrash> crashes,
            long nowNanos,
            long wallMillis) {
        List<QuarantinedPart> subjects = subjects(parts, crashes);
        boolean added = addSubjects(subjects, nowNanos, wallMillis);
        Set<String> reported =
                subjects.stream().map(QuarantinedPart::part).collect(Collectors.toSet());
        List<QuarantineVerdict> withdrawals =
                entries()
                        .filter(entry -> entry.quarantined(nowNanos))
                        .filter(entry -> !reported.contains(entry.part()))
                        .map(entry -> newVerdict(entry.part(), true, 0, wallMillis))
                        .toList();
        boolean withdrawn = decide(withdrawals, nowNanos);
        return added || withdrawn;
    }

    /**
     * Adds what the scheduler of an entry instance has in quarantine. What it no longer reports
     * stays: without a leader it lacks the later crashes that others saw.
     *
     * @return whether anything has changed
     */
    boolean add(
            List<QuarantinedPart> parts,
            List<RecordedCrash> crashes,
            long nowNanos,
            long wallMillis) {
        return addSubjects(subjects(parts, crashes), nowNanos, wallMillis);
    }

    private boolean addSubjects(List<QuarantinedPart> subjects, long nowNanos, long wallMillis) {
        return decide(
                subjects.stream()
                        .filter(part -> isNewer(part, nowNanos))
                        .map(part -> newVerdict(part.part(), false, part.ageMillis(), wallMillis))
                        .toList(),
                nowNanos);
    }

    /**
     * Applies learned verdicts to the scheduler of this process. Where a group of parts is
     * withdrawn of which some are in quarantine by themselves, these are added again.
     */
    void apply(List<QuarantineVerdict> learned, PlacementScheduler scheduler, long nowNanos) {
        if (learned.isEmpty()) {
            return;
        }
        List<String> withdrawn =
                learned.stream()
                        .filter(QuarantineVerdict::cleared)
                        .map(QuarantineVerdict::part)
                        .toList();
        scheduler
                .crashes()
                .remove(
                        withdrawn.stream()
                                .filter(CrashSubject::matches)
                                .map(CrashSubject::contentHash)
                                .distinct()
                                .toList());
        scheduler.crashes().add(crashes(nowNanos), nowNanos);
        Set<String> touched =
                learned.stream()
                        .flatMap(verdict -> members(verdict.part()).stream())
                        .collect(Collectors.toSet());
        scheduler.removeQuarantinedParts(
                withdrawn.stream().filter(part -> !CrashSubject.matches(part)).toList(), nowNanos);
        scheduler.addQuarantinedParts(
                quarantinedParts(nowNanos).stream()
                        .filter(part -> members(part.part()).stream().anyMatch(touched::contains))
                        .toList(),
                nowNanos);
    }

    /** Returns the parts in quarantine. */
    List<QuarantinedPart> quarantinedParts(long nowNanos) {
        return mParts.values().stream()
                .filter(entry -> entry.quarantined(nowNanos))
                .map(entry -> new QuarantinedPart(entry.part(), entry.ageMillis(nowNanos)))
                .toList();
    }

    /** Returns the crashes of contents that may crash further upstreams. */
    List<RecordedCrash> crashes(long nowNanos) {
        return mCrashes.values().stream()
                .filter(entry -> entry.quarantined(nowNanos))
                .map(entry -> CrashSubject.crash(entry.part(), entry.ageMillis(nowNanos)))
                .toList();
    }

    /** Returns whether a part is in quarantine. */
    boolean isQuarantined(String part, long nowNanos) {
        Entry entry = mParts.get(part);
        return entry != null && entry.quarantined(nowNanos);
    }

    /**
     * Returns a part that is in quarantine and that a prompt with these parts contains. A verdict
     * on several parts applies to prompts with all of them.
     *
     * @param maximumAgeNanos time since the last crash up to which a verdict counts
     */
    Optional<String> findQuarantined(
            List<String> promptParts, long maximumAgeNanos, long nowNanos) {
        if (mParts.isEmpty() || promptParts.isEmpty()) {
            return Optional.empty();
        }
        return mParts.values().stream()
                .filter(entry -> entry.quarantined(nowNanos))
                .filter(entry -> nowNanos - entry.eventNanos() < maximumAgeNanos)
                .map(Entry::part)
                .filter(part -> promptParts.containsAll(members(part)))
                .findFirst();
    }

    /** Returns the revision, which increases with each stored verdict. */
    long revision() {
        return mRevision;
    }

    /** Returns the verdicts stored after a revision, 0 for all. */
    List<QuarantineVerdict> changedSince(long revision, long nowNanos) {
        if (revision >= mRevision) {
            return List.of();
        }
        return entries()
                .filter(entry -> entry.revision() > revision && entry.retained(nowNanos))
                .map(entry -> entry.verdict(nowNanos))
                .toList();
    }

    /** Removes entries that no copy elsewhere can revive any more. */
    void expire(long nowNanos) {
        mParts.values().removeIf(entry -> entry.removable(nowNanos));
        mCrashes.values().removeIf(entry -> entry.removable(nowNanos));
        updateCount(nowNanos);
    }

    /** Returns the number of parts in quarantine at the last change; from any thread. */
    int quarantinedCount() {
        return mQuarantinedCount;
    }

    private boolean store(QuarantineVerdict verdict, long nowNanos) {
        long eventNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(verdict.ageMillis());
        Map<String, Entry> table = table(verdict.part());
        Entry known = table.get(verdict.part());
        boolean outdated = known != null && !verdict.overrules(known.stamp(), known.cleared());
        if (outdated
                || verdict.part().length() > MAXIMUM_PART_LENGTH
                || nowNanos - eventNanos >= retentionNanos(verdict.part())
                || (known == null && !makeRoom(table, eventNanos, nowNanos))) {
            return false;
        }
        mRevision++;
        table.put(
                verdict.part(),
                new Entry(
                        verdict.part(), verdict.stamp(), verdict.cleared(), eventNanos, mRevision));
        return true;
    }

    /**
     * Removes the oldest entry of a full directory, unless the new one is as old. Without a margin,
     * two entries of nearly the same age would replace each other in turn.
     */
    private boolean makeRoom(Map<String, Entry> table, long eventNanos, long nowNanos) {
        if (table.size() < (table == mParts ? MAXIMUM_PARTS : MAXIMUM_CRASHES)) {
            return true;
        }
        Entry oldest =
                table.values().stream()
                        .max(Comparator.comparingLong(entry -> nowNanos - entry.eventNanos()))
                        .orElseThrow();
        if (eventNanos - oldest.eventNanos() <= REFRESH_NANOS) {
            return false;
        }
        table.remove(oldest.part());
        return true;
    }

    private boolean isNewer(QuarantinedPart part, long nowNanos) {
        Entry known = table(part.part()).get(part.part());
        long crashNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(part.ageMillis());
        return known == null
                || !known.quarantined(nowNanos)
                || crashNanos - known.eventNanos() > REFRESH_NANOS;
    }

    private QuarantineVerdict newVerdict(
            String part, boolean cleared, long ageMillis, long wallMillis) {
        Entry known = table(part).get(part);
        long stamp = known == null ? wallMillis : Math.max(wallMillis, known.stamp() + 1);
        return new QuarantineVerdict(part, stamp, cleared, ageMillis);
    }

    private boolean decide(List<QuarantineVerdict> verdicts, long nowNanos) {
        List<QuarantineVerdict> changes =
                verdicts.stream().filter(verdict -> store(verdict, nowNanos)).toList();
        if (!changes.isEmpty()) {
            updateCount(nowNanos);
        }
        return !changes.isEmpty();
    }

    private Stream<Entry> entries() {
        return Stream.concat(mParts.values().stream(), mCrashes.values().stream());
    }

    private Map<String, Entry> table(String subject) {
        return CrashSubject.matches(subject) ? mCrashes : mParts;
    }

    private static long retentionNanos(String subject) {
        return CrashSubject.matches(subject) ? CRASH_RETENTION_NANOS : RETENTION_NANOS;
    }

    private static List<QuarantinedPart> subjects(
            List<QuarantinedPart> parts, List<RecordedCrash> crashes) {
        return Stream.concat(parts.stream(), crashes.stream().map(CrashSubject::of)).toList();
    }

    private static List<String> members(String part) {
        return List.of(part.split("\\+"));
    }

    private void updateCount(long nowNanos) {
        mQuarantinedCount =
                (int) mParts.values().stream().filter(entry -> entry.quarantined(nowNanos)).count();
    }
}
