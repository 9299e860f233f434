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
            throw new AssertionError("not played here");
        }
    }

    /** Near, far, of one time, and long after a silence: the wheel gives what the heap gives. */
    public void theWheelGivesEventsInTheOrderOfTheHeap() {
        SplittableRandom chance = new SplittableRandom(5);
        TimingWheelQueue wheel = new TimingWheelQueue();
        HeapEventQueue heap = new HeapEventQueue();
        for (int i = 0; i < 200_000; i++) {
            if (chance.nextInt(100) < 55) {
                long ahead = switch (chance.nextInt(5)) {
                    case 0 -> 0;
                    case 1 -> chance.nextInt(3);
                    case 2 -> chance.nextInt(2_000);
                    case 3 -> chance.nextInt(200_000);
                    default -> 65_535 + chance.nextInt(3);
                };
                wheel.add(wheel.now() + ahead, new Numbered(i));
                heap.add(heap.now() + ahead, new Numbered(i));
            } else {
                Numbered got = (Numbered) wheel.poll();
                Numbered wanted = (Numbered) heap.poll();
                if (wanted == null) {
                    assertNull(got);
                } else {
                    assertEquals(got.which, wanted.which, "event " + i);
                    assertEquals(wheel.now(), heap.now());
                }
            }
        }
        for (Event wanted = heap.poll(); wanted != null; wanted = heap.poll()) {
            assertEquals(((Numbered) wheel.poll()).which, ((Numbered) wanted).which);
        }
        assertNull(wheel.poll());
    }

    public void whatIsAddedForThePastComesNext() {
        TimingWheelQueue wheel = new TimingWheelQueue();
        Event late = new Numbered(1);
        wheel.add(500, new Numbered(0));
        wheel.poll();
        wheel.add(3, late);
        assertSame(wheel.poll(), late);
        assertEquals(wheel.now(), 500);
    }
}
