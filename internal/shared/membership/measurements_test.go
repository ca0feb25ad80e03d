package membership_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cinderroad/internal/testkit/virtualcluster"
)

var (
	measure      = flag.String("fleet.measure", "", "write the table of measurements to this `file`, and the plot beside it")
	measureSeeds = flag.Int("fleet.seeds", 200, "seeds of each row of the table")
	plainSeeds   = flag.Int("fleet.plainseeds", 20, "seeds of each row of SWIM without the additions")
	measureSizes = flag.String("fleet.sizes", "10,100,300,1000", "sizes of the fleets in the table")
	losses       = flag.String("fleet.losses", "0,0.05,0.2", "shares of the messages that get lost")
)

// trial is the result of one seed.
type trial struct {
	join, found     float64 // periods until one view: after a start of all at once; after one in ten was killed
	wrong           int     // running members that were declared dead
	hours           float64 // member-hours watched
	messages, bytes float64 // a member a period, while nothing happens
	cpu             float64 // seconds of processor a member a period
}

const never = math.MaxInt32

// play plays a cluster of n: all start within a probe interval, run for a while, and one in ten is killed.
func play(seed uint64, n int, loss float64, plain bool) (r trial) {
	net := virtualcluster.New(virtualcluster.Options{
		Seed:        seed,
		LossRate:    loss,
		Delay:       0.002,
		Jitter:      0.01,
		PlainSWIM:   plain,
		EncodeEvery: 7,
	}, n)
	net.StartAll(1)
	r.join = periodsUntil(net, n, 0, 120)
	net.Run(net.Now + 20)
	before := sumTraffic(net)
	from := net.Now
	began := time.Now()
	span := 40.0
	net.Run(net.Now + span)
	r.cpu = time.Since(began).Seconds() / span / float64(n)
	after := sumTraffic(net)
	r.messages = float64(after.sent-before.sent) / span / float64(n)
	r.bytes = (after.bytes - before.bytes) / span / float64(n)
	r.wrong = after.deaths - before.deaths
	r.hours = float64(n) * (net.Now - from) / 3600
	for i, node := range net.Nodes {
		if i%10 == 9 {
			net.Kill(node)
		}
	}
	r.found = periodsUntil(net, n-n/10, n/10, 200)
	return r
}

// periodsUntil runs until all nodes hold the same names, with the given numbers of members that are alive or suspect, and
// dead. It returns how long that took in probe intervals of a second, or never after limit.
func periodsUntil(net *virtualcluster.Network, alive, dead int, limit float64) float64 {
	took, ok := net.RunUntil(limit, 0.5, func() bool {
		for _, node := range net.Nodes {
			if node.Membership == nil {
				continue
			}
			a, s, d := node.Membership.CountByState()
			if node.Membership.NamesDigest() != net.Nodes[0].Membership.NamesDigest() || a+s != alive || d != dead {
				return false
			}
		}
		return true
	})
	if !ok {
		return never
	}
	return took
}

// traffic is what all nodes have sent, and the members that they have declared dead.
type traffic struct {
	sent   int
	bytes  float64
	deaths int
}

func sumTraffic(net *virtualcluster.Network) (sum traffic) {
	for _, node := range net.Nodes {
		sum.sent += node.Sent
		sum.bytes += node.Bytes
		sum.deaths += int(node.Membership.Deaths)
	}
	return sum
}

// memory returns the bytes that a node takes for each other member.
func memory(n int) float64 {
	net := virtualcluster.New(virtualcluster.Options{Seed: 1}, n)
	net.StartAll(1)
	net.Run(net.Now + 60)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := net.Nodes[1].Membership
	for i, node := range net.Nodes {
		if i != 1 {
			net.Kill(node)
		}
	}
	net.Nodes[1].Changes = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(before.HeapAlloc-after.HeapAlloc) / float64(n-1) / float64(n)
}

// row plays all seeds of a row, in parallel.
func row(n int, loss float64, plain bool) []trial {
	all := make([]trial, *measureSeeds)
	if plain {
		all = all[:min(len(all), *plainSeeds)]
	}
	var wait sync.WaitGroup
	turn := make(chan bool, runtime.GOMAXPROCS(0))
	for i := range all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			turn <- true
			all[i] = play(uint64(i+1), n, loss, plain)
			<-turn
		}()
	}
	wait.Wait()
	return all
}

func pick(all []trial, get func(*trial) float64) (median, worst float64) {
	var v []float64
	for i := range all {
		v = append(v, get(&all[i]))
	}
	slices.Sort(v)
	return v[len(v)/2], v[len(v)-1]
}

// TestMeasurements writes the table of the design note:
//
//	go test ./internal/shared/membership -run TestMeasurements -timeout 2h -fleet.measure FILE
func TestMeasurements(t *testing.T) {
	if *measure == "" {
		t.Skip("by hand, with -fleet.measure")
	}
	sizes, shares := numbers[int](t, *measureSizes), numbers[float64](t, *losses)
	var b strings.Builder
	fmt.Fprintf(&b, "%d seeds a row, %d of plain SWIM. ", *measureSeeds, *plainSeeds)
	b.WriteString("Periods until all hold the same members, median and worst; ")
	b.WriteString("members held dead that ran, for each member-hour.\n\n")
	b.WriteString("| members | loss | | join | one in ten killed | wrong deaths | messages | bytes | processor, µs |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	lines := map[string][]point{}
	for _, n := range sizes {
		for _, loss := range shares {
			for _, plain := range []bool{true, false} {
				name := "as built"
				if plain {
					name = "plain SWIM"
				}
				all := row(n, loss, plain)
				fmt.Fprintf(&b, "| %d | %.0f%% | %s %s", n, 100*loss, name, tableCells(all))
				join, _ := pick(all, func(r *trial) float64 { return r.join })
				found, _ := pick(all, func(r *trial) float64 { return r.found })
				for what, v := range map[string]float64{"join": join, "found dead": found} {
					if loss == 0.05 && v < never {
						lines[name+", "+what] = append(lines[name+", "+what], point{float64(n), v})
					}
				}
				t.Log(n, loss, name)
			}
		}
	}
	b.WriteString("\n| members | bytes of memory for each other one known |\n| --- | --- |\n")
	for _, n := range sizes {
		fmt.Fprintf(&b, "| %d | %.0f |\n", n, memory(n))
	}
	if err := os.WriteFile(*measure, []byte(b.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(strings.TrimSuffix(*measure, ".md")+".svg", []byte(plot(lines)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// tableCells formats the results of a row.
func tableCells(all []trial) string {
	join, joinWorst := pick(all, func(r *trial) float64 { return r.join })
	found, foundWorst := pick(all, func(r *trial) float64 { return r.found })
	var mean trial // of the rates; wrong and hours are sums
	for _, r := range all {
		mean.wrong += r.wrong
		mean.hours += r.hours
		mean.messages += r.messages / float64(len(all))
		mean.bytes += r.bytes / float64(len(all))
		mean.cpu += r.cpu / float64(len(all))
	}
	periods := fmt.Sprintf("| %s, %s | %s, %s ",
		formatPeriods(join), formatPeriods(joinWorst), formatPeriods(found), formatPeriods(foundWorst))
	wrong := fmt.Sprintf("| %.3f ", float64(mean.wrong)/mean.hours)
	return periods + wrong + fmt.Sprintf("| %.1f | %.0f | %.0f |\n", mean.messages, mean.bytes, 1e6*mean.cpu)
}

func formatPeriods(periods float64) string {
	if periods >= never {
		return "never"
	}
	return fmt.Sprintf("%.1f", periods)
}

func numbers[T any](t *testing.T, text string) (all []T) {
	t.Helper()
	for _, s := range strings.Split(text, ",") {
		var v T
		if _, err := fmt.Sscan(s, &v); err != nil {
			t.Fatal(err)
		}
		all = append(all, v)
	}
	return all
}

type point struct{ x, y float64 }

// plot draws the probe intervals to one view over the size of the cluster, both on logarithmic scales. A line ends
// where there was none.
func plot(lines map[string][]point) string {
	const width, height, left, top = 640, 400, 60, 20
	x := func(v float64) float64 { return left + (width-left-180)*(math.Log10(v)-0.5)/3 }
	y := func(v float64) float64 {
		return height - 40 - (height-40-top)*math.Log10(math.Min(math.Max(v, 1), 1000))/3
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="11">`, width, height)
	b.WriteString("\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n")
	for _, v := range []float64{1, 10, 100, 1000} {
		fmt.Fprintf(&b, `<path d="M%d %.0fH%d" stroke="#ddd"/>`, left, y(v), width-180)
		fmt.Fprintf(&b, `<text x="%d" y="%.0f" text-anchor="end">%.0f</text>`+"\n", left-6, y(v)+4, v)
		if v > 1 {
			fmt.Fprintf(&b, `<text x="%.0f" y="%d" text-anchor="middle">%.0f</text>`+"\n", x(v), height-22, v)
		}
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="middle">members</text>`, (left+width-180)/2, height-6)
	fmt.Fprintf(&b, `<text x="14" y="%d" transform="rotate(-90 14 %d)" text-anchor="middle">`, height/2, height/2)
	b.WriteString("periods until all hold the same members, median, 5% loss</text>\n")
	var names []string
	for name := range lines {
		names = append(names, name)
	}
	slices.Sort(names)
	colours := []string{"#1b6ca8", "#c0392b", "#1b6ca8", "#c0392b"}
	for i, name := range names {
		dash := ""
		if strings.HasPrefix(name, "plain") {
			dash = ` stroke-dasharray="5 4"`
		}
		var path []string
		for _, p := range lines[name] {
			path = append(path, fmt.Sprintf("%.1f %.1f", x(p.x), y(p.y)))
		}
		stroke := fmt.Sprintf(`stroke="%s" stroke-width="2"%s`, colours[i%4], dash)
		fmt.Fprintf(&b, `<path d="M%s" fill="none" %s/>`, strings.Join(path, "L"), stroke)
		fmt.Fprintf(&b, `<path d="M%d %dh24" %s/>`, width-170, 40+20*i, stroke)
		fmt.Fprintf(&b, `<text x="%d" y="%d">%s</text>`+"\n", width-140, 44+20*i, name)
	}
	b.WriteString("</svg>\n")
	return b.String()
}
