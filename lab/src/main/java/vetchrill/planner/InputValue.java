package vetchrill.planner;

/**
 * One input of a plan with its source and uncertainty: {@code low} and {@code high} are the limits of the 90%
 * confidence interval, and equal {@code value} where it is configured rather than measured.
 */
public record InputValue(String name, double value, double low, double high, String unit, String source) {
    public static final String SOURCE_CAPTURE = "capture";
    public static final String SOURCE_FLEET_FILE = "fleet file";
    /** A value that a capture can show, but this capture contains no such event. */
    public static final String SOURCE_FLEET_FILE_UNOBSERVED = "fleet file, as the capture did not see it";

    static InputValue fromFleetFile(String name, double value, String unit) {
        return new InputValue(name, value, value, value, unit, SOURCE_FLEET_FILE);
    }
}
