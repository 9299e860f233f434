package vetchrill.tool;

import vetchrill.routing.Recorder;

/** Two that write down what one instance does. */
final class Recorders implements Recorder {
    private final Recorder first;
    private final Recorder second;
    private final ExchangeRow row = new ExchangeRow();

    private Recorders(Recorder first, Recorder second) {
        this.first = first;
        this.second = second;
    }

    /** Either may be null. */
    static Recorder both(Recorder first, Recorder second) {
        return first == null ? second : second == null ? first : new Recorders(first, second);
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

    private static void put(ExchangeRow row, Recorder to) {
        ExchangeRow its = to.claimExchangeRow();
        if (its != null) {
            its.copyFrom(row);
            to.put(its);
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
