# Targets for users and for CI. They need Go and make; Go downloads the rest.
GOBIN := $(CURDIR)/bin
export GOFLAGS := -buildvcs=false

.PHONY: fresh build demo demo-portal drill soak test faults race-faults fault-pairs measure regress generate

build:
	go build -o $(GOBIN)/ledgesill .
	go build -o $(GOBIN)/demo ./contrib/demo

demo: build
	contrib/demo/run.sh $(GOBIN) flagpost

demo-portal: build
	contrib/demo/run.sh $(GOBIN) portal

# Kills and freezes real control replicas and wipes their disks.
drill: build
	contrib/demo/run.sh $(GOBIN) flagpost drill

# Runs real processes under the faults that each seed generates: SEEDS=1-50 make soak
SEEDS_OF_SOAK := $(or $(SEEDS),@contrib/soak/seeds.txt)
soak: build
	go build -o $(GOBIN)/soak ./contrib/soak
	$(GOBIN)/soak -binary $(GOBIN)/ledgesill -seeds $(SEEDS_OF_SOAK)

# Uses a fixed seed to make property tests reproducible. CI skips the tests listed in KNOWN-RED.txt.
test:
	RAPID_SEED=1 RAPID_NOFAILFILE=1 go test ./...

# Runs property tests with new random seeds, and fuzz targets: SECONDS_EACH=60 make fresh
fresh:
	contrib/fresh/run.sh

# Runs the full fault matrix: every fault at every step, in internal/control with three seeds.
faults:
	go test ./internal/control -run TestFaultMatrix -count=1 -v -timeout 60m -fault-seeds 3
	go test ./internal/entry -run TestFaultMatrix -count=1 -v -timeout 60m

# Runs the fault matrices under the race detector.
race-faults:
	go test -race ./internal/control -run TestFaultMatrix -count=1 -timeout 60m
	go test -race ./internal/entry -run 'Test(Caller)?FaultMatrix' -count=1 -timeout 120m

# Also runs every pair of faults, which takes long.
fault-pairs:
	go test ./internal/control -run TestFaultMatrix -count=1 -v -timeout 120m -fault-pairs
	go test ./internal/entry -run TestFaultMatrix -count=1 -v -timeout 120m -fault-pairs

# Compares the present policy with a baseline policy in virtual time: SEEDS=1,2,3 make measure
SEEDS ?= 1,2,3
measure:
	go run ./contrib/measure -seeds $(SEEDS)
	go run ./contrib/measure -objects -seeds $(SEEDS)

# Scores deployments and compares each score with the previous one of another commit:
# BENCH=PROGRAM SITES="FILE FILE" make regress. Without SITES it only compares scores in the journal.
regress:
	@test -z "$(SITES)" || test -n "$(BENCH)" || { echo "BENCH names the program that plays the sites"; exit 2; }
	@for s in $(SITES); do $(BENCH) score $$s --jobs 2 --why "regression run" || exit 1; done
	go run ./contrib/regress

generate:
	buf generate
