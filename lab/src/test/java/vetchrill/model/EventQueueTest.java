package vetchrill.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;

import java.util.SplittableRandom;
import org.testng.annotations.Test;

@Test
public class EventQueueTest {
    private static final class Numbered extends Event {
        final int which;

        Numbered(int which) {
            this.which = which;
        }

        @Override
        public void execute(long now) {
            throw new AssertionError("events are not executed in this test");
        }
    }

    /** Near and far events, some of equal times, some around the size of the wheel. */
    public void pollsEventsInTheOrderOfTheHeap() {
        SplittableRandom random = new SplittableRandom(5);
        TimingWheelQueue wheel = new TimingWheelQueue();
        HeapEventQueue heap = new HeapEventQueue();
        for (int i = 0; i < 200_000; i++) {
            if (random.nextInt(100) < 55) {
                long ahead = switch (random.nextInt(5)) {
                    case 0 -> 0;
                    case 1 -> random.nextInt(3);
                    case 2 -> random.nextInt(2_000);
                    case 3 -> random.nextInt(200_000);
                    default -> 65_535 + random.nextInt(3);
                };
                wheel.add(wheel.now() + ahead, new Numbered(i));
                heap.add(heap.now() + ahead, new Numbered(i));
            } else {
                Numbered got = (Numbered) wheel.poll();
                Numbered expected = (Numbered) heap.poll();
                if (expected == null) {
                    assertNull(got);
                } else {
                    assertEquals(got.which, expected.which, "event " + i);
                    assertEquals(wheel.now(), heap.now());
                }
            }
        }
        for (Event expected = heap.poll(); expected != null; expected = heap.poll()) {
            assertEquals(((Numbered) wheel.poll()).which, ((Numbered) expected).which);
        }
        assertNull(wheel.poll());
    }

    public void pollsAnEventAddedForThePastNext() {
        TimingWheelQueue wheel = new TimingWheelQueue();
        Event late = new Numbered(1);
        wheel.add(500, new Numbered(0));
        wheel.poll();
        wheel.add(3, late);
        assertSame(wheel.poll(), late);
        assertEquals(wheel.now(), 500);
    }
}
