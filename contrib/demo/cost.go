package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"ledgesill.dev/ledgesill/contrib/layout"
	"ledgesill.dev/ledgesill/pkg/caller"
)

const (
	settleTime  = 5 * time.Second
	idleTime    = 10 * time.Second
	changeCount = 10
	loadTime    = 4 * time.Second
	loadWorkers = 8
)

// processUsage holds the resource usage that a process reports.
type processUsage struct{ sent, received, cpu, memory float64 }

// scrape reads the resource usage from the metrics of a process.
func (d *driver) scrape(ctx context.Context, operator string) (processUsage, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	var families map[string]*dto.MetricFamily
	err := d.fetch(ctx, "http://"+operator+"/metrics", func(body io.Reader) (err error) {
		families, err = parser.TextToMetricFamilies(body)
		return err
	})
	if err != nil {
		return processUsage{}, err
	}
	value := func(name string) float64 {
		f := families[name]
		if f == nil || len(f.Metric) == 0 {
			return 0
		}
		m := f.Metric[0]
		return m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	return processUsage{
		sent:     value("ledgesill_control_bytes_sent"),
		received: value("ledgesill_control_bytes_received"),
		cpu:      value("process_cpu_seconds_total"),
		memory:   value("process_resident_memory_bytes"),
	}, nil
}

// observedProcesses returns the operator addresses of the processes whose usage is printed:
// the control replicas, the first box of the first zone, which relays, and the last box,
// which does not.
func (d *driver) observedProcesses() map[string]string {
	out := make(map[string]string)
	for _, c := range d.layout.Controls {
		out[c.Name] = c.Operator
	}
	first, last := d.layout.Boxes[0], d.layout.Boxes[len(d.layout.Boxes)-1]
	out["first box "+first.Name] = first.Operator
	out["last box "+last.Name] = last.Operator
	return out
}

func (d *driver) scrapeAll(ctx context.Context) (map[string]processUsage, error) {
	out := make(map[string]processUsage)
	for name, address := range d.observedProcesses() {
		s, err := d.scrape(ctx, address)
		if err != nil {
			return nil, err
		}
		out[name] = s
	}
	return out, nil
}

// measureIdle prints what control costs the processes of each role, idle and with one change a
// second.
func measureIdle(ctx context.Context, l layout.Layout, dir string) error {
	d := newDriver(l, dir)
	if err := d.setUp(ctx); err != nil {
		return err
	}
	wait(ctx, settleTime)
	before, err := d.scrapeAll(ctx)
	if err != nil {
		return err
	}
	wait(ctx, idleTime)
	rest, err := d.scrapeAll(ctx)
	if err != nil {
		return err
	}
	var slowest time.Duration
	began := time.Now()
	for i := range changeCount {
		took, err := d.changeSetting(ctx, fmt.Sprint("change-", i), fmt.Sprint(1000+i))
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
		wait(ctx, time.Until(began.Add(time.Duration(i+1)*time.Second)))
	}
	changed, err := d.scrapeAll(ctx)
	if err != nil {
		return err
	}
	length := time.Since(began).Seconds()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s: %d boxes\tsent B/s\treceived B/s\tcpu %%\tmemory MB\tB per change\t\n", l.Name, len(l.Boxes))
	for name := range rest {
		b, r, c := before[name], rest[name], changed[name]
		restSent, restReceived := (r.sent-b.sent)/idleTime.Seconds(), (r.received-b.received)/idleTime.Seconds()
		extra := (c.sent - r.sent + c.received - r.received - (restSent+restReceived)*length) / changeCount
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t\n", name, restSent, restReceived, 100*(r.cpu-b.cpu)/idleTime.Seconds(), r.memory/1e6, extra)
	}
	fmt.Fprintf(w, "slowest change in force at all boxes: %d ms\n", slowest.Milliseconds())
	return w.Flush()
}

// measureLoad prints how many lookups and requests a second one entry box serves, also per
// second of its CPU time, and for comparison the requests of a target without the box.
func measureLoad(ctx context.Context, l layout.Layout, dir string) error {
	d := newDriver(l, dir)
	if err := d.setUp(ctx); err != nil {
		return err
	}
	wait(ctx, settleTime)
	b := l.Boxes[len(l.Boxes)-1]
	service := l.Services[0].Name
	target := ""
	for _, t := range l.Targets {
		if t.Zone == b.Zone && t.Service == service {
			target = t.Address
		}
	}
	for _, c := range []struct{ name, url string }{
		{"look-ups", "http://" + b.Caller + caller.LookupPath + "?service=" + service + "&block=x"},
		{"requests through the box", "http://" + b.Caller + caller.ServicePrefix + service + "/flag"},
		{"requests to a target", "http://" + target + "/flag"},
	} {
		if err := d.measureRate(ctx, c.name, c.url, b.Operator); err != nil {
			return err
		}
	}
	return nil
}

// measureRate requests a URL with loadWorkers workers for loadTime and prints the rate.
func (d *driver) measureRate(ctx context.Context, name, url, operator string) error {
	before, err := d.scrape(ctx, operator)
	if err != nil {
		return err
	}
	var done, failed atomic.Int64
	var took atomic.Int64
	end := time.Now().Add(loadTime)
	var running sync.WaitGroup
	for range loadWorkers {
		running.Go(func() {
			for time.Now().Before(end) {
				began := time.Now()
				if err := d.get(ctx, url); err != nil {
					failed.Add(1)
					continue
				}
				took.Add(int64(time.Since(began)))
				done.Add(1)
			}
		})
	}
	running.Wait()
	after, err := d.scrape(ctx, operator)
	if err != nil {
		return err
	}
	cpu := after.cpu - before.cpu
	fmt.Printf("%-26s %8.0f/s, %6.0f for a second of the box's processor time, mean %.2f ms, %d failed, memory %.0f MB\n", name,
		float64(done.Load())/loadTime.Seconds(), float64(done.Load())/max(cpu, 0.001), float64(took.Load())/float64(max(done.Load(), 1))/1e6, failed.Load(), after.memory/1e6)
	return nil
}

// get requests a URL and discards the response body.
func (d *driver) get(ctx context.Context, url string) error {
	return d.fetch(ctx, url, func(body io.Reader) error {
		_, err := io.Copy(io.Discard, body)
		return err
	})
}
