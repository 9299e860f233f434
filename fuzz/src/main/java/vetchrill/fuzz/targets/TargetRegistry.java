package vetchrill.fuzz.targets;

import java.util.List;
import vetchrill.fuzz.Target;
import vetchrill.fuzz.chain.ChainTarget;

/** The one place at which a target is registered. */
public final class TargetRegistry {
    private TargetRegistry() {
    }

    public static List<Target> all() {
        return List.of(new FramesTarget(), new LinesTarget(), TextTargets.membership(), TextTargets.settings(),
                TextTargets.start(), TextTargets.wire(), TextTargets.hcl(), TextTargets.capture(), new ModuleTarget(),
                new ChainTarget(), new MembersTarget(), new VersionsTarget(),
                new StoreTarget(), new RecoveryTarget());
    }
}
