package vetchrill.planner;

/**
 * One thing that a plan rests on, where it comes from, and how sure it is: {@code low} and {@code high} hold the value
 * nine times of ten, and are the value itself where it was told and not measured.
 */
public record InputValue(String name, double value, double low, double high, String unit, String source) {
    public static final String SOURCE_CAPTURE = "capture";
    public static final String SOURCE_FLEET_FILE = "fleet file";
    /** The capture could have told it, but did not see it happen. */
    public static final String SOURCE_FLEET_FILE_UNOBSERVED = "fleet file, as the capture did not see it";

    static InputValue fromFleetFile(String name, double value, String unit) {
        return new InputValue(name, value, value, value, unit, SOURCE_FLEET_FILE);
    }
}
