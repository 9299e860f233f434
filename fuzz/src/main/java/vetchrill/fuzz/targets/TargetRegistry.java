package vetchrill.fuzz.targets;

import java.util.List;
import vetchrill.fuzz.Target;
import vetchrill.fuzz.chain.ChainTarget;

/** All targets; a new target is added here only. */
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
