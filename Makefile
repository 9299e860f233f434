# The usual steps; CI calls the command of `test` by itself.
.PHONY: build test lint run clean

build:
	mvn -B -ntp -pl instance -am -Dmaven.test.skip=true package
	deploy/archive.sh

test:
	mvn -B -ntp verify

lint:
	mvn -B -ntp -Plint -DskipTests test-compile checkstyle:check@lint

run: build
	GW_CONFIG=deploy/example.json sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

clean:
	mvn -B -ntp clean
