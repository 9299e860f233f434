package vetchrill.planner;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import vetchrill.capture.Capture;
import vetchrill.capture.CaptureException;
import vetchrill.capture.CaptureMerge;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Group;
import vetchrill.fleet.Fleet.MachineKind;
import vetchrill.fleet.Fleet.Zone;
import vetchrill.model.Workload;

/**
 * A fleet model fitted to captures: the workload behind the offered load, the core time of each group, the cost of a
 * reading and how contention slows the cores. It uses captured rows only, never counts of the clients; values that rows
 * can't show are those of the fleet file.
 */
public final class FittedModel {
    /** Candidate contention curves: threshold in jobs per core, and speed loss per job above it. */
    private static final double[] CONTENTION_THRESHOLDS_PER_CORE = {1, 1.25, 1.5, 2, 2.5, 3, 4, 6};
    private static final double[] LOSS_PER_JOB_RATIOS = {0, 0.02, 0.05, 0.08, 0.12, 0.16, 0.2, 0.3, 0.4, 0.6};
    /** Candidate latencies of the program itself in a reading, during which it does not wait for a core. */
    private static final long[] READ_LATENCIES_TENTHS_MS = {0, 5, 10, 20, 40};
    /** More rows do not improve the fitted curve. */
    private static final int MAX_CURVE_ROWS = 60_000;
    /** Rows that must have arrived under contention before a curve is fitted. */
    private static final int MIN_CONTENDED_ROWS = 60;
    /** Difference in score that random variation may well cause. */
    private static final double FIT_TOLERANCE = 2;
    /** Instances whose starts are further apart were not started together with the fleet. */
    private static final long START_SKEW_TENTHS_MS = 30_000;
    private static final int BIN_COUNT = 20;
    /** Relative differences between bins below this ratio are negligible. */
    private static final double NEGLIGIBLE_DIFFERENCE_RATIO = 0.03;
    /** Bins with fewer rows are ignored. */
    private static final int MIN_BIN_ROWS = 15;
    /** An instance whose readings differ by more than this ratio is slow, cold or of another speed. */
    private static final double OUTLIER_RATIO = 1.25;
    /** Jobs per core above which an instance counts as contended. */
    private static final double CONTENDED_JOBS_PER_CORE = 3;
    /** Minimum number of readings of one instance for its speed to be compared. */
    private static final int MIN_OUTLIER_ROWS = 30;

    /** The configured fleet with the fitted values. */
    public final Fleet fleet;
    /** The captured workload, as a rate over time with random core times, subjects and sizes. */
    public final Workload workload;
    public final CaptureMerge merged;
    /** All inputs with their sources. */
    public final List<InputValue> values = new ArrayList<>();
    public final List<String> remarks = new ArrayList<>();
    /** Attempts per first attempt, estimated from the rows. */
    public final double attemptsPerExchange;
    private final List<Workload.RecordedRequest> firstAttempts;
    private final Fleet configuredFleet;
    private final SplittableRandom random = new SplittableRandom(16);
    private final List<MachineKind> kinds = new ArrayList<>();
    private final Map<String, ContentionCurve> curves = new HashMap<>();
    private final Sample[] workSamples;
    private final Sample[] sizeSamples;
    private final Sample[] memorySamples;

    /** Throws CaptureException if the captures are not of this fleet or contain too little. */
    public FittedModel(Fleet configuredFleet, List<Capture> captures) {
        this.configuredFleet = configuredFleet;
        merged = new CaptureMerge(captures);
        remarks.addAll(merged.remarks);
        int[] groupIndexes = mapGroups(captures);
        checkCaptures(captures);
        workSamples = newSamples(configuredFleet.groups.size());
        sizeSamples = newSamples(configuredFleet.groups.size());
        memorySamples = newSamples(configuredFleet.groups.size());
        Map<String, Sample> readings = fitKinds(captures, groupIndexes);
        List<Group> groups = fitGroups(groupIndexes);
        double spanSeconds = (merged.to - merged.from) / 10_000.0;
        if (spanSeconds < 1) {
            throw new CaptureException("the captures span " + spanSeconds + " s; at least one second is required");
        }
        double firstAttemptCount = merged.firstAttempts();
        attemptsPerExchange = merged.rows / firstAttemptCount;
        double scale = fleetScale(captures);
        double loadPerSecond = firstAttemptCount / spanSeconds * scale;
        double margin = 1.645 * Math.sqrt(firstAttemptCount) / spanSeconds * scale;
        values.add(new InputValue("first tries", loadPerSecond, loadPerSecond - margin, loadPerSecond + margin, "1/s",
                InputValue.SOURCE_CAPTURE));
        values.add(new InputValue("tries for each first try", attemptsPerExchange, attemptsPerExchange,
                attemptsPerExchange / (1 - merged.falseRetryRatio), "", InputValue.SOURCE_CAPTURE));
        LoadProfile profile = new LoadProfile(merged, scale);
        values.add(new InputValue("counts of half a second, variance for the mean", profile.dispersion,
                profile.dispersion, profile.dispersion, "", InputValue.SOURCE_CAPTURE));
        Fleet.Subjects subjects = fitSubjects();
        for (Map.Entry<String, Sample> entry : readings.entrySet()) {
            addMeasured("reading, " + entry.getKey(), entry.getValue());
        }
        fleet = configuredFleet.withFitted(kinds, groups,
                new Fleet.Load(loadPerSecond, 0, configuredFleet.load.period()), subjects);
        List<String> missing = fleet.missingValues();
        if (!missing.isEmpty()) {
            throw new CaptureException("missing from both the captures and the fleet file: "
                    + String.join(", ", missing));
        }
        workload = new CapturedWorkload(fleet, merged, groupIndexes, profile, workSamples, sizeSamples, memorySamples);
        firstAttempts = readFirstAttempts(groupIndexes);
        addConfigured();
    }

    /** The captured workload with {@code loadFactor} times as many first attempts. */
    public Workload scaledBy(double loadFactor) {
        return ((CapturedWorkload) workload).scaledBy(loadFactor);
    }

    /**
     * Replays the captured first attempts one by one, for a plan of the captured period itself; exchanges that were
     * never run get a random core time. For any other period use {@link #workload}, which has only their rate over
     * time.
     */
    public Workload replay() {
        return new ReplayedWorkload(workload, firstAttempts);
    }

    private List<Workload.RecordedRequest> readFirstAttempts(int[] groupIndexes) {
        Map<String, CoreTimeEstimator> estimators = new HashMap<>();
        List<Workload.RecordedRequest> attempts = new ArrayList<>();
        for (int i = 0; i < merged.rows; i++) {
            if (merged.retry[i]) {
                continue;
            }
            Capture capture = merged.captures.get(merged.capture[i]);
            int row = merged.row[i];
            double coreTime = Double.NaN;
            if (CoreTimeEstimator.hasRun(capture, row)) {
                CoreTimeEstimator estimator = estimators.computeIfAbsent(capture.file.toString(), key -> {
                    MachineKind kind = configuredFleet.kind(capture.kind);
                    return curves.get(kind.name()).estimators(List.of(capture), kind).get(0);
                });
                coreTime = Math.max(1, estimator.runCoreTime(capture, row));
            }
            int stub = (int) Math.min(Integer.MAX_VALUE, capture.stub[row]);
            attempts.add(new Workload.RecordedRequest(merged.arrivedAt[i] - merged.from, stub,
                    groupIndexes[capture.group[row]], capture.customer[row], capture.subject[row],
                    capture.sizeKb[row], capture.bodyBytes[row], coreTime));
        }
        return attempts;
    }

    private static Sample[] newSamples(int n) {
        Sample[] samples = new Sample[n];
        for (int i = 0; i < n; i++) {
            samples[i] = new Sample();
        }
        return samples;
    }

    /** Maps each group index of the captures to its index in the fleet file. */
    private int[] mapGroups(List<Capture> captures) {
        List<String> names = captures.get(0).deployment.groupNames;
        int[] groupIndexes = new int[names.size()];
        for (int i = 0; i < groupIndexes.length; i++) {
            groupIndexes[i] = configuredFleet.groups.stream().map(Group::name).toList().indexOf(names.get(i));
            if (groupIndexes[i] < 0) {
                throw new CaptureException(captures.get(0).file + ": names group '" + names.get(i)
                        + "', which is not in the fleet file");
            }
        }
        return groupIndexes;
    }

    private void checkCaptures(List<Capture> captures) {
        for (Capture capture : captures) {
            Zone zone = configuredFleet.zones.stream().filter(each -> each.name().equals(capture.zone)).findFirst()
                    .orElse(null);
            if (zone == null) {
                throw new CaptureException(capture.file + ": is of zone '" + capture.zone
                        + "', which is not in the fleet file");
            }
            if (configuredFleet.kinds.stream().noneMatch(each -> each.name().equals(capture.kind))) {
                throw new CaptureException(capture.file + ": is of kind '" + capture.kind
                        + "', which is not in the fleet file");
            }
            if (capture.deployment.deployment.cores != configuredFleet.kind(capture.kind).cores()) {
                throw new CaptureException(capture.file + ": has " + capture.deployment.deployment.cores
                        + " cores; kind '" + capture.kind + "' of the fleet file has "
                        + configuredFleet.kind(capture.kind).cores());
            }
        }
    }

    private double fleetScale(List<Capture> captures) {
        Set<String> names = new HashSet<>();
        captures.forEach(each -> names.add(each.name));
        if (names.size() > configuredFleet.instanceCount()) {
            throw new CaptureException("the captures are of " + names.size() + " instances, the fleet file has "
                    + configuredFleet.instanceCount());
        }
        if (names.size() < configuredFleet.instanceCount()) {
            remarks.add(names.size() + " of " + configuredFleet.instanceCount()
                    + " instances were captured: their load is scaled up to the whole fleet");
        }
        return configuredFleet.instanceCount() / (double) names.size();
    }

    // Core times, reading times and contention.

    private Map<String, Sample> fitKinds(List<Capture> captures, int[] groupIndexes) {
        Map<String, Sample> readings = new LinkedHashMap<>();
        for (MachineKind kind : configuredFleet.kinds) {
            List<Capture> kindCaptures = captures.stream().filter(each -> each.kind.equals(kind.name())).toList();
            if (kindCaptures.isEmpty()) {
                kinds.add(kind);
                if (Double.isNaN(kind.readingTime())) {
                    remarks.add("no capture is of kind '" + kind.name() + "'");
                }
                continue;
            }
            // An instance that was started later started cold: it shows the warm-up, not the speed of its kind.
            long firstStart = kindCaptures.stream().mapToLong(each -> each.startedAt).min().orElse(0);
            List<Capture> warm = kindCaptures.stream().filter(each -> each.startedAt - firstStart < kind.warmUpTime()
                    + START_SKEW_TENTHS_MS).toList();
            ContentionCurve curve = fitContention(kind, warm);
            curves.put(kind.name(), curve);
            List<CoreTimeEstimator> estimators = curve.estimators(warm, kind);
            boolean[] typical = findTypical(warm, estimators);
            Sample readingSample = new Sample();
            for (int index = 0; index < warm.size(); index++) {
                Capture capture = warm.get(index);
                for (int i = 0; i < capture.rows && typical[index]; i++) {
                    if (estimators.get(index).hasReading(capture, i)) {
                        readingSample.add(estimators.get(index).readingCoreTime(capture, i));
                    }
                    if (CoreTimeEstimator.hasRun(capture, i)) {
                        workSamples[groupIndexes[capture.group[i]]].add(Math.max(1,
                                estimators.get(index).runCoreTime(capture, i)));
                    }
                }
            }
            // Trimmed, because readings that waited for the start or the garbage collector are no core time.
            Sample trimmedReadings = readingSample.trimmed();
            readings.put(kind.name(), trimmedReadings);
            kinds.add(kind.with(trimmedReadings.count() == 0 ? kind.readingTime() : trimmedReadings.mean(),
                    curve.threshold, curve.lossPerJob));
        }
        return readings;
    }

    /** Slowdown of the cores under contention, and how long a reading additionally waits for the program. */
    private record ContentionCurve(double threshold, double lossPerJob, long readLatency) {
        List<CoreTimeEstimator> estimators(List<Capture> captures, MachineKind kind) {
            List<CoreTimeEstimator> estimators = new ArrayList<>();
            for (Capture capture : captures) {
                CoreTimeEstimator estimator = new CoreTimeEstimator(capture, kind, readLatency);
                estimator.applyContention(threshold, lossPerJob);
                estimators.add(estimator);
            }
            return estimators;
        }

        /** The share of the speed that is lost with this many jobs per core. */
        double lostSpeed(double jobsPerCore) {
            return jobsPerCore <= threshold ? 0 : 1 - 1 / (1 + lossPerJob * (jobsPerCore - threshold));
        }
    }

    /**
     * Finds the curve under which the estimated core time of a job does not depend on the number of jobs when it
     * started. Of the curves that fit about equally well, the one with the least slowdown is used.
     */
    private ContentionCurve fitContention(MachineKind kind, List<Capture> captures) {
        List<Capture> usedCaptures = new ArrayList<>();
        int rows = 0;
        for (Capture each : captures) {
            if (rows == 0 || rows + each.rows <= MAX_CURVE_ROWS) {
                usedCaptures.add(each);
                rows += each.rows;
            }
        }
        double maxJobsPerCore = 0;
        int contendedRows = 0;
        for (Capture each : usedCaptures) {
            CoreTimeEstimator estimators = new CoreTimeEstimator(each, kind, 0);
            for (int i = 0; i < each.rows; i++) {
                double jobsPerCore = estimators.jobsPerCore(each.arrivedAt[i]);
                maxJobsPerCore = Math.max(maxJobsPerCore, jobsPerCore);
                contendedRows += jobsPerCore > CONTENDED_JOBS_PER_CORE ? 1 : 0;
            }
        }
        if (contendedRows < MIN_CONTENDED_ROWS) {
            return unobservedContention(kind);
        }
        List<ContentionCurve> candidates = new ArrayList<>();
        List<Double> scores = new ArrayList<>();
        double bestScore = Double.MAX_VALUE;
        for (long readLatency : READ_LATENCIES_TENTHS_MS) {
            List<CoreTimeEstimator> estimators = new ContentionCurve(1, 0, readLatency).estimators(usedCaptures, kind);
            for (double threshold : CONTENTION_THRESHOLDS_PER_CORE) {
                for (double lossPerJob : LOSS_PER_JOB_RATIOS) {
                    if (lossPerJob == 0 && threshold > CONTENTION_THRESHOLDS_PER_CORE[0]) {
                        continue;
                    }
                    for (CoreTimeEstimator each : estimators) {
                        each.applyContention(threshold, lossPerJob);
                    }
                    double score = unevenness(usedCaptures, estimators);
                    bestScore = Math.min(bestScore, score);
                    candidates.add(new ContentionCurve(threshold, lossPerJob, readLatency));
                    scores.add(score);
                }
            }
        }
        ContentionCurve mildest = null;
        double minLostSpeed = 1;
        double maxLostSpeed = 0;
        for (int i = 0; i < candidates.size(); i++) {
            double lostSpeed = candidates.get(i).lostSpeed(maxJobsPerCore);
            if (scores.get(i) <= bestScore + FIT_TOLERANCE
                    && (mildest == null || lostSpeed < mildest.lostSpeed(maxJobsPerCore))) {
                mildest = candidates.get(i);
            }
            if (scores.get(i) <= bestScore + 2 * FIT_TOLERANCE) {
                minLostSpeed = Math.min(minLostSpeed, lostSpeed);
                maxLostSpeed = Math.max(maxLostSpeed, lostSpeed);
            }
        }
        values.add(new InputValue("speed lost by " + kind.name() + " with " + Math.round(maxJobsPerCore * 10) / 10.0
                + " jobs for each core, " + mildest.lossPerJob + " for each past " + mildest.threshold,
                mildest.lostSpeed(maxJobsPerCore), minLostSpeed, maxLostSpeed,
                "", InputValue.SOURCE_CAPTURE));
        return mildest;
    }

    /** The curve for a kind whose instances were hardly ever contended. */
    private ContentionCurve unobservedContention(MachineKind kind) {
        boolean configured = !Double.isNaN(kind.contentionThreshold());
        double threshold = configured ? kind.contentionThreshold() : 1_000;
        double lossPerJob = configured ? kind.contentionLoss() : 0;
        remarks.add("instances of kind '" + kind.name() + "' were hardly ever contended: " + (configured
                ? "the slowdown is that of the fleet file" : "no slowdown is assumed"));
        values.add(new InputValue("speed lost by " + kind.name() + " for each job past " + threshold + " a core",
                lossPerJob, lossPerJob, lossPerJob, "", InputValue.SOURCE_FLEET_FILE_UNOBSERVED));
        return new ContentionCurve(threshold, lossPerJob, 0);
    }

    /**
     * Measures how much the estimated core times differ between bins of jobs per core at the start, relative to random
     * variation and negligible differences. All readings cost the same, so their median is used, which is robust
     * against a few that waited for something other than a core; core times of runs vary, so their mean is used.
     */
    private double unevenness(List<Capture> captures, List<CoreTimeEstimator> estimators) {
        int groups = captures.get(0).deployment.groupNames.size();
        Sample[][] samples = new Sample[groups + 1][];
        for (int g = 0; g <= groups; g++) {
            samples[g] = newSamples(BIN_COUNT);
        }
        for (int c = 0; c < captures.size(); c++) {
            Capture capture = captures.get(c);
            CoreTimeEstimator estimator = estimators.get(c);
            for (int i = 0; i < capture.rows; i++) {
                if (estimator.hasReading(capture, i)) {
                    samples[groups][binOf(estimator.jobsPerCore(capture.arrivedAt[i]))]
                            .add(estimator.readingCoreTime(capture, i));
                }
                if (CoreTimeEstimator.hasRun(capture, i)) {
                    samples[capture.group[i]][binOf(estimator.jobsPerCore(capture.runStartedAt[i]))]
                            .add(estimator.runCoreTime(capture, i));
                }
            }
        }
        double total = 0;
        for (int g = 0; g <= groups; g++) {
            double[] centers = new double[BIN_COUNT];
            double[] binWeights = new double[BIN_COUNT];
            double weightedSum = 0;
            double weightSum = 0;
            for (int b = 0; b < BIN_COUNT; b++) {
                Sample sample = samples[g][b];
                if (sample.count() < MIN_BIN_ROWS) {
                    continue;
                }
                centers[b] = Math.log(Math.max(1, g == groups ? sample.quantile(0.5) : sample.mean()));
                double relativeError = g == groups ? (sample.quantile(0.75) / sample.quantile(0.25)
                        - 1) / Math.sqrt(sample.count())
                        : sample.coefficientOfVariation() / Math.sqrt(sample.count());
                binWeights[b] = 1
                        / (relativeError * relativeError + NEGLIGIBLE_DIFFERENCE_RATIO * NEGLIGIBLE_DIFFERENCE_RATIO);
                weightedSum += binWeights[b] * centers[b];
                weightSum += binWeights[b];
            }
            for (int b = 0; b < BIN_COUNT; b++) {
                total += binWeights[b] * (centers[b] - weightedSum / weightSum)
                        * (centers[b] - weightedSum / weightSum);
            }
        }
        return total;
    }

    private static int binOf(double jobsPerCore) {
        return (int) Math.min(BIN_COUNT - 1, 5 * Math.log1p(jobsPerCore));
    }

    /** Finds instances that represent their kind; the others are cold, slowed down or of another speed. */
    private boolean[] findTypical(List<Capture> captures, List<CoreTimeEstimator> estimators) {
        double[] medians = new double[captures.size()];
        int[] rowCounts = new int[captures.size()];
        for (int index = 0; index < captures.size(); index++) {
            Capture capture = captures.get(index);
            Sample readings = new Sample();
            for (int i = 0; i < capture.rows; i++) {
                if (estimators.get(index).hasReading(capture, i)) {
                    readings.add(estimators.get(index).readingCoreTime(capture, i));
                    rowCounts[index]++;
                }
            }
            medians[index] = rowCounts[index] == 0 ? 0 : readings.quantile(0.5);
        }
        double overallMedian = median(medians, rowCounts);
        boolean[] typical = new boolean[captures.size()];
        int excluded = 0;
        for (int index = 0; index < typical.length; index++) {
            typical[index] = rowCounts[index] < MIN_OUTLIER_ROWS || medians[index] < overallMedian * OUTLIER_RATIO
                    && medians[index] > overallMedian / OUTLIER_RATIO;
            if (!typical[index]) {
                excluded++;
                remarks.add(captures.get(index).file.getFileName() + ": its readings take "
                        + Math.round(medians[index] / overallMedian * 100)
                        + "% of the time that they take elsewhere; it is excluded from the core times");
            }
        }
        if (2 * excluded > typical.length) {
            Arrays.fill(typical, true);
            remarks.add("the instances differ too much in speed to exclude any");
        }
        return typical;
    }

    private static double median(double[] medians, int[] rowCounts) {
        double[] sorted = new double[medians.length];
        int n = 0;
        for (int i = 0; i < medians.length; i++) {
            if (rowCounts[i] >= MIN_OUTLIER_ROWS) {
                sorted[n++] = medians[i];
            }
        }
        sorted = Arrays.copyOf(sorted, n);
        Arrays.sort(sorted);
        return n == 0 ? 1 : sorted[n / 2];
    }

    // Workload.

    private List<Group> fitGroups(int[] groupIndexes) {
        double[] attemptsByGroup = new double[configuredFleet.groups.size()];
        double total = 0;
        for (int i = 0; i < merged.rows; i++) {
            Capture capture = merged.captures.get(merged.capture[i]);
            int row = merged.row[i];
            int group = groupIndexes[capture.group[row]];
            if (!merged.retry[i]) {
                attemptsByGroup[group]++;
                total++;
                sizeSamples[group].add(capture.bodyBytes[row]);
                memorySamples[group].add(capture.sizeKb[row]);
            }
        }
        List<Group> groups = new ArrayList<>();
        for (int g = 0; g < attemptsByGroup.length; g++) {
            Group group = configuredFleet.groups.get(g);
            double share = attemptsByGroup[g] / total;
            double margin = 1.645 * Math.sqrt(share * (1 - share) / total);
            values.add(new InputValue("share of " + group.name(), share, Math.max(0, share - margin), share + margin,
                    "", InputValue.SOURCE_CAPTURE));
            if (workSamples[g].count() > 0) {
                addMeasured("work of " + group.name(), workSamples[g]);
                values.add(new InputValue("spread of the work of " + group.name(),
                        workSamples[g].coefficientOfVariation(), workSamples[g].coefficientOfVariation(),
                        workSamples[g].coefficientOfVariation(), "", InputValue.SOURCE_CAPTURE));
            }
            if (workSamples[g].count() == 0 && !Double.isNaN(group.coreTime())) {
                Workload.ConfiguredWorkload configuredWorkload =
                        new Workload.ConfiguredWorkload(configuredFleet.withFitted(configuredFleet.kinds,
                        withDefaults(configuredFleet.groups), configuredFleet.load,
                        new Fleet.Subjects(1, 0)));
                for (int i = 0; i < 1_000; i++) {
                    workSamples[g].add(configuredWorkload.coreTime(g, random));
                }
                values.add(InputValue.fromFleetFile("work of " + group.name(), group.coreTime() / 10, "ms"));
            }
            groups.add(group.with(share, workSamples[g].count() > 0 ? workSamples[g].mean() : group.coreTime(),
                    workSamples[g].count() > 0 ? workSamples[g].coefficientOfVariation() : group.coreTimeCv(),
                    memorySamples[g].count() > 0 ? memorySamples[g].mean() : group.sizeKb(),
                    (int) Math.round(sizeSamples[g].count() > 0 ? sizeSamples[g].mean() : group.bodyBytes())));
        }
        return groups;
    }

    private static List<Group> withDefaults(List<Group> groups) {
        return groups.stream().map(group -> group.with(1.0 / groups.size(), Double.isNaN(group.coreTime()) ? 1
                : group.coreTime(),
                Double.isNaN(group.coreTimeCv()) ? 0.5 : group.coreTimeCv(), 1, 1)).toList();
    }

    private void addMeasured(String name, Sample sample) {
        double[] interval = sample.meanConfidenceInterval(random);
        values.add(new InputValue(name, sample.mean() / 10, interval[0] / 10, interval[1] / 10, "ms",
                InputValue.SOURCE_CAPTURE));
    }

    /** Fits the skew of the subjects: the slope of log frequency over log rank. */
    private Fleet.Subjects fitSubjects() {
        Map<Long, Integer> counts = new HashMap<>();
        for (int i = 0; i < merged.rows; i++) {
            long subject = merged.captures.get(merged.capture[i]).subject[merged.row[i]];
            if (!merged.retry[i] && subject != 0) {
                counts.merge(subject, 1, Integer::sum);
            }
        }
        if (counts.isEmpty()) {
            remarks.add("no exchange has a subject");
            return configuredFleet.subjects.distinct() > 0 && !Double.isNaN(configuredFleet.subjects.skew())
                    ? configuredFleet.subjects : new Fleet.Subjects(1, 0);
        }
        List<Integer> sorted = new ArrayList<>(counts.values());
        sorted.sort((a, b) -> b - a);
        int frequentSubjects = 0;
        while (frequentSubjects < sorted.size() && sorted.get(frequentSubjects) >= 5) {
            frequentSubjects++;
        }
        double skew = configuredFleet.subjects.skew();
        double margin = 0;
        if (frequentSubjects >= 10) {
            double sx = 0;
            double sy = 0;
            double sxx = 0;
            double sxy = 0;
            for (int i = 0; i < frequentSubjects; i++) {
                double x = Math.log(i + 1.0);
                double y = Math.log(sorted.get(i));
                sx += x;
                sy += y;
                sxx += x * x;
                sxy += x * y;
            }
            skew = Math.max(0, -(frequentSubjects * sxy - sx * sy) / (frequentSubjects * sxx - sx * sx));
            margin = 1.645 * skew / Math.sqrt(frequentSubjects);
            values.add(new InputValue("skew of subjects", skew, Math.max(0, skew - margin), skew + margin, "",
                    InputValue.SOURCE_CAPTURE));
        } else {
            remarks.add("too few frequent subjects to estimate their skew");
            skew = Double.isNaN(skew) ? 0 : skew;
            values.add(new InputValue("skew of subjects", skew, skew, skew, "",
                    InputValue.SOURCE_FLEET_FILE_UNOBSERVED));
        }
        values.add(new InputValue("subjects seen", counts.size(), counts.size(), Double.POSITIVE_INFINITY, "",
                InputValue.SOURCE_CAPTURE));
        return new Fleet.Subjects(Math.max(counts.size(), configuredFleet.subjects.distinct()), skew);
    }

    /** Adds the values that captured rows can't show. */
    private void addConfigured() {
        for (MachineKind kind : configuredFleet.kinds) {
            values.add(InputValue.fromFleetFile("cores of " + kind.name(), kind.cores(), ""));
            values.add(InputValue.fromFleetFile("memory of " + kind.name(), kind.memoryKb() / 1024, "MB"));
            values.add(InputValue.fromFleetFile("speed of " + kind.name() + " at a cold start", kind.coldSpeedRatio(),
                    ""));
            values.add(InputValue.fromFleetFile("warm-up of " + kind.name(), kind.warmUpTime() / 10_000.0, "s"));
        }
        for (Fleet.StubPool pool : configuredFleet.pools) {
            values.add(InputValue.fromFleetFile("stubs " + pool.name() + ": " + pool.balancing().name().toLowerCase()
                    + ", retry " + pool.retry().name().toLowerCase() + ", part that heeds advice",
                    pool.followsRetryAfterRatio(), ""));
        }
        values.add(InputValue.fromFleetFile("lag of the roster", configuredFleet.directoryDelays.reportLag() / 10_000.0,
                "s"));
        values.add(InputValue.fromFleetFile("lag of the roster after a silent death",
                configuredFleet.directoryDelays.silenceTimeout() / 10_000.0, "s"));
        values.add(InputValue.fromFleetFile("network across zones", configuredFleet.network.acrossZones() / 10.0,
                "ms"));
        values.add(InputValue.fromFleetFile("relays replaced at a time", configuredFleet.deploy.batchRatio(), ""));
    }
}
