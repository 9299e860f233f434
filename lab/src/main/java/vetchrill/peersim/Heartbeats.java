package vetchrill.peersim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import vetchrill.members.Members;
import vetchrill.members.News;
import vetchrill.members.News.State;
import vetchrill.members.Pace;
import vetchrill.members.Word;

/** What membership is held against: everybody tells everybody each period, and who is silent for eight is dead. */
final class Heartbeats implements MembersWorld.Watch {
    private static final int SILENT = 8;

    private final Pace pace;
    private final News self;
    private final List<String> others = new ArrayList<>();
    private final Map<String, News> held = new TreeMap<>();
    private final Map<String, Long> heardAt = new TreeMap<>();
    private final ArrayDeque<String> toSend = new ArrayDeque<>();
    private final ArrayDeque<News> toTell = new ArrayDeque<>();
    private long now;
    private long nextBeat;

    Heartbeats(Pace pace, String name, List<String> names, long nonce, long now) {
        this.pace = pace;
        self = new News(name, "", 1, nonce, 0, State.ALIVE, name);
        names.stream().filter(each -> !each.equals(name)).forEach(others::add);
        this.now = now;
        nextBeat = now;
    }

    @Override
    public void time(long now) {
        this.now = now;
        if (now >= nextBeat) {
            nextBeat = now + pace.period();
            toSend.addAll(others);
        }
        for (News each : List.copyOf(held.values())) {
            if (each.state() == State.ALIVE && now - heardAt.get(each.name()) > SILENT * pace.period()) {
                tell(new News(each.name(), "", each.life(), each.nonce(), each.turn(), State.DEAD, self.name()));
            }
        }
    }

    @Override
    public void heard(Word word) {
        heardAt.put(word.from().name(), now);
        News before = held.get(word.from().name());
        if (before == null || before.state() != State.ALIVE || !before.sameLife(word.from())) {
            tell(word.from());
        }
    }

    private void tell(News news) {
        held.put(news.name(), news);
        toTell.add(news);
    }

    @Override
    public boolean next(Members.Host host) {
        if (!toTell.isEmpty()) {
            host.changed(toTell.poll(), State.ALIVE);
            return true;
        }
        if (!toSend.isEmpty()) {
            host.send(toSend.poll(), 0, new Word(Word.Kind.PROBE, self, 0, "", List.of()));
            return true;
        }
        return false;
    }

    @Override
    public long wakeAt() {
        return nextBeat;
    }
}
