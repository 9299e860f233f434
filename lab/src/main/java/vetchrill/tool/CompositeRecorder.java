package vetchrill.tool;

import vetchrill.routing.Recorder;

/** Passes records on to two recorders; subjects and gauges go to the second one only. */
final class CompositeRecorder implements Recorder {
    private final Recorder first;
    private final Recorder second;
    private final ExchangeRow row = new ExchangeRow();

    private CompositeRecorder(Recorder first, Recorder second) {
        this.first = first;
        this.second = second;
    }

    /** Combines two recorders, either of which may be null. */
    static Recorder combine(Recorder first, Recorder second) {
        return first == null ? second : second == null ? first : new CompositeRecorder(first, second);
    }

    @Override
    public long subject(byte[] buf, int from, int to) {
        return second.subject(buf, from, to);
    }

    @Override
    public ExchangeRow claimExchangeRow() {
        return row;
    }

    @Override
    public void put(ExchangeRow row) {
        put(row, first);
        put(row, second);
    }

    private static void put(ExchangeRow row, Recorder recorder) {
        ExchangeRow target = recorder.claimExchangeRow();
        if (target != null) {
            target.copyFrom(row);
            recorder.put(target);
        }
    }

    @Override
    public void runRequested(long id, long version, int group, int customer, long at) {
        first.runRequested(id, version, group, customer, at);
        second.runRequested(id, version, group, customer, at);
    }

    @Override
    public void versionActivated(long version) {
        first.versionActivated(version);
        second.versionActivated(version);
    }

    @Override
    public GaugeRow claimGaugeRow() {
        return second.claimGaugeRow();
    }

    @Override
    public void put(GaugeRow row) {
        second.put(row);
    }

    @Override
    public void close() {
        first.close();
        second.close();
    }
}
