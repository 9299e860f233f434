# The usual steps; CI calls the command of `test` by itself.
.PHONY: build instance test lint run sites measure-planner measure-fuzz measure-cost measure-members \
	measure-audit measure-recovery clean

build:
	mvn -B -ntp -Dmaven.test.skip=true package
	deploy/archive.sh

instance:
	mvn -B -ntp -pl instance -am -Dmaven.test.skip=true package
	deploy/archive.sh

test:
	mvn -B -ntp verify

lint:
	mvn -B -ntp -Plint -DskipTests test-compile checkstyle:check@lint

run: instance
	GW_CONFIG=deploy/example.json sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# The bench's own files beside the variants of deploy/sites, which stand in for deployments that nobody here knows.
GIVEN ?= ../given/kit/sites
sites:
	cp $(GIVEN)/real.json $(GIVEN)/wire.json $(GIVEN)/unlock.txt deploy/sites/

# Some ten minutes; wants the machine to itself. SEEDS and FIRST_SEED choose the runs of the proof.
SEEDS ?= 3
FIRST_SEED ?= 1
measure-planner: build
	VETCHRILL_JAVA=-Xmx1g bin/vetchrill measure examples/fleet-300.hcl examples/rig.hcl \
	    --seeds $(SEEDS) --first-seed $(FIRST_SEED)

# Some minutes, and up to ten more for each fault that is not found at once; LONG=0 leaves those out.
LONG ?= 600
SEED ?= 1
measure-fuzz: build
	bin/vetchrill fuzz measure --seed $(SEED) --long $(LONG)

# Some five minutes; wants the machine to itself. The instance of any earlier commit is built from this repository's history.
COMMIT ?= 9a9c91d
THEN = lab/target/cost/$(COMMIT)
measure-cost: build
	rm -rf $(THEN) && mkdir -p $(THEN)
	git archive $(COMMIT) | tar -x -C $(THEN)
	cd $(THEN) && mvn -q -B -ntp -Dmaven.test.skip=true $$(test -d instance && echo -pl instance -am) package
	taskset -c 1-$$(($$(nproc) - 1)) bin/vetchrill cost $$(ls -d $(THEN)/instance/target/vetchrill.jar $(THEN)/target/vetchrill.jar 2> /dev/null) \
	    instance/target/vetchrill.jar --commit $(COMMIT)

# Some minutes, most of them for the fleet of a thousand.
measure-members: build
	bin/vetchrill members --sizes 10,100,1000 --seeds 3 --first-seed $(FIRST_SEED)

# Some ten minutes, half of them for planted faults; wants the machine to itself.
PLAYS ?= 6
measure-audit: build
	bin/vetchrill measure-audit --plays $(PLAYS) --first-seed $(FIRST_SEED)

# Some ten minutes, most of them for planted faults; wants the machine to itself.
measure-recovery: build
	bin/vetchrill measure-recovery --plays $(PLAYS) --first-seed $(FIRST_SEED)

clean:
	mvn -B -ntp clean
