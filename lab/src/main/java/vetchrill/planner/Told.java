package vetchrill.planner;

/**
 * One thing that a plan rests on, where it comes from, and how sure it is: {@code low} and {@code high} hold the value
 * nine times of ten, and are the value itself where it was told and not measured.
 */
public record Told(String what, double value, double low, double high, String unit, String source) {
    public static final String CAPTURE = "capture";
    public static final String FILE = "fleet file";
    /** The capture could have told it, but did not see it happen. */
    public static final String UNSEEN = "fleet file, as the capture did not see it";

    static Told file(String what, double value, String unit) {
        return new Told(what, value, value, value, unit, FILE);
    }
}
