# Targets for users and for CI; everything but Go and make is fetched by Go.
GOBIN := $(CURDIR)/bin
export GOFLAGS := -buildvcs=false

.PHONY: fresh build demo demo-portal drill soak test faults fault-pairs measure regress generate

build:
	go build -o $(GOBIN)/ledgesill .
	go build -o $(GOBIN)/demo ./contrib/demo

demo: build
	contrib/demo/run.sh $(GOBIN) flagpost

demo-portal: build
	contrib/demo/run.sh $(GOBIN) portal

# Real control replicas are killed, frozen and lose their disks.
drill: build
	contrib/demo/run.sh $(GOBIN) flagpost drill

# Real processes under faults by the plan of seeds: SEEDS=1-50 make soak
SEEDS_OF_SOAK := $(or $(SEEDS),@contrib/soak/seeds.txt)
soak: build
	go build -o $(GOBIN)/soak ./contrib/soak
	$(GOBIN)/soak -binary $(GOBIN)/ledgesill -seeds $(SEEDS_OF_SOAK)

# Fixed seeds, so that the verdict is the same every time. CI leaves out the tests that KNOWN-RED.txt names.
test:
	RAPID_SEED=1 RAPID_NOFAILFILE=1 go test ./...

# Property tests with fresh seeds and fuzz targets: SECONDS_EACH=60 make fresh
fresh:
	contrib/fresh/run.sh

# The whole fault matrix: several seeds of every fault at every step.
faults:
	go test ./internal/control -run TestFaultMatrix -count=1 -v -timeout 60m -fault-seeds 3
	go test ./internal/entry -run TestFaultMatrix -count=1 -v -timeout 60m

# Every pair of faults as well; this takes long.
fault-pairs:
	go test ./internal/control -run TestFaultMatrix -count=1 -v -timeout 120m -fault-pairs
	go test ./internal/entry -run TestFaultMatrix -count=1 -v -timeout 120m -fault-pairs

# The policy against its baseline, in virtual time: SEEDS=1,2,3 make measure
SEEDS ?= 1,2,3
measure:
	go run ./contrib/measure -seeds $(SEEDS)
	go run ./contrib/measure -objects -seeds $(SEEDS)

# Scores of deployments and what became of them since the last ones of another commit:
# BENCH=PROGRAM SITES="FILE FILE" make regress. Without SITES the journal alone is read.
regress:
	@test -z "$(SITES)" || test -n "$(BENCH)" || { echo "BENCH names the program that plays the sites"; exit 2; }
	@for s in $(SITES); do $(BENCH) score $$s --jobs 2 --why "regression run" || exit 1; done
	go run ./contrib/regress

generate:
	buf generate
