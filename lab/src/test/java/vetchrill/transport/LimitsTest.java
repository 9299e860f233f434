package vetchrill.transport;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

@Test
public class LimitsTest {
    public void connectionLimitsKeepReservedDescriptorsFree() {
        for (int descriptors : new int[] {32, 48, 64, 100, 384, 512, 1_024, 65_536}) {
            Limits limits = new Limits(64 << 20, descriptors);
            assertTrue(limits.targetConnections >= 1 && limits.targetConnections <= limits.maxConnections
                    && limits.maxConnections <= limits.hardMaxConnections
                    && limits.hardMaxConnections <= Math.max(1, descriptors - 24),
                    "connection limits for " + descriptors + " descriptors");
        }
    }
}
