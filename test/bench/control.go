package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/instance"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
	"github.com/dotterelgauge/dotterelgauge/test/site"
)

// Units of /proc.
const (
	// ticksPerSecond of processor time in /proc/PID/stat.
	ticksPerSecond = 100
	pageBytes      = 4096
	mebibyte       = 1 << 20
	percent        = 100
)

// bench measures a site.
type bench struct {
	ctx   context.Context
	site  *site.Site
	given options
}

// reading is the counters of an instance at one time.
type reading struct {
	at      time.Time
	metrics instance.Metrics
	// ticks of processor time and resident bytes of the process.
	ticks    int64
	resident int64
	// own is the resident bytes that are no part of the program file.
	own int64
	// heap is the live bytes of the Go heap and those not yet collected.
	heap int64
}

// variables is the answer of /debug/vars.
type variables struct {
	Instance instance.Metrics `json:"dotterelgauge"`
	Memory   struct {
		HeapAlloc int64
	} `json:"memstats"`
}

func read(i *site.Instance) reading {
	result := reading{at: time.Now()}
	if response, err := http.Get("http://" + i.Operators + "/debug/vars"); err == nil { //nolint:noctx // Loopback.
		var all variables
		_ = json.NewDecoder(response.Body).Decode(&all)
		_ = response.Body.Close()
		result.metrics = all.Instance
		result.heap = all.Memory.HeapAlloc
	}
	pid := i.Process.Process.Pid
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userField, systemField, residentField = 11, 12, 21
	if len(fields) > residentField {
		result.ticks = number(fields[userField]) + number(fields[systemField])
		result.resident = number(fields[residentField]) * pageBytes
	}
	result.own = ownBytes(pid)
	return result
}

// ownBytes reads the anonymous resident bytes of a process.
func ownBytes(pid int) int64 {
	const kibibyte = 1 << 10
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			return number(fields[1]) * kibibyte
		}
	}
	return 0
}

func number(text string) int64 {
	value, _ := strconv.ParseInt(text, 10, 64)
	return value
}

// measure runs work for the time given and prints what each instance spent on it.
func (b *bench) measure(title string, work func()) {
	fmt.Println("\n" + title)
	before := make([]reading, len(b.site.Instances))
	for n, i := range b.site.Instances {
		before[n] = read(i)
	}
	counted := b.site.Log.Counters()
	work()
	fmt.Printf("%-9s %6s %10s %10s %10s %10s %12s %12s %12s %12s\n",
		"instance", "owns", "core %", "MiB", "own MiB", "heap MiB", "peers B/s", "log B/s", "list B/s", "workers B/s")
	for n, i := range b.site.Instances {
		printSpent(i.Name(), before[n], read(i))
	}
	printAppends(counted, b.site.Log.Counters(), time.Since(before[0].at))
}

func printSpent(name string, before, after reading) {
	seconds := after.at.Sub(before.at).Seconds()
	was, is := before.metrics.Traffic, after.metrics.Traffic
	rate := func(a, b int64) float64 { return float64(b-a) / seconds }
	peers := rate(was.PeersOut.Sent+was.PeersOut.Received+was.PeersFrom.Sent+was.PeersFrom.Received,
		is.PeersOut.Sent+is.PeersOut.Received+is.PeersFrom.Sent+is.PeersFrom.Received)
	fmt.Printf("%-9s %6d %10.2f %10.1f %10.1f %10.1f %12.0f %12.0f %12.0f %12.0f\n", name, after.metrics.Owned,
		percent*float64(after.ticks-before.ticks)/ticksPerSecond/seconds,
		float64(after.resident)/mebibyte,
		float64(after.own)/mebibyte,
		float64(after.heap)/mebibyte,
		peers,
		rate(was.Log.Sent+was.Log.Received, is.Log.Sent+is.Log.Received),
		rate(was.List.Sent+was.List.Received, is.List.Sent+is.List.Received),
		rate(was.Workers.Sent+was.Workers.Received, is.Workers.Sent+is.Workers.Received))
}

func printAppends(before, after logservice.Counters, elapsed time.Duration) {
	seconds := elapsed.Seconds()
	rate := func(a, b int64) float64 { return float64(b-a) / seconds }
	fmt.Printf("log, by all instances in %.1f s: %.2f appends/s, %.0f bytes/s appended, %.1f reads/s, %.0f bytes/s read\n",
		seconds, rate(before.Appends, after.Appends), rate(before.AppendBytes, after.AppendBytes),
		rate(before.ReadCalls, after.ReadCalls), rate(before.ReadBytes, after.ReadBytes))
}

// measureIdle measures the site without work.
func (b *bench) measureIdle() {
	b.measure("idle", func() { time.Sleep(b.given.Time) })
}
