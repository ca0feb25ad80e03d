package discovery

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawRunner(t *rapid.T) Runner {
	runner := Runner{
		ID:                 rapid.String().Draw(t, "id"),
		Service:            rapid.String().Draw(t, "service"),
		Zone:               rapid.String().Draw(t, "zone"),
		Capacity:           rapid.Int().Draw(t, "capacity"),
		Draining:           rapid.Bool().Draw(t, "draining"),
		SlowStartRemaining: time.Duration(rapid.Int64().Draw(t, "cold")),
		TimeToTermination:  time.Duration(rapid.Int64().Draw(t, "left")),
		Phase:              rapid.String().Draw(t, "phase"),
	}
	octets := rapid.SampledFrom([]int{0, 4, 16}).Draw(t, "octets")
	if address, ok := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), octets, octets).Draw(t, "address")); ok {
		runner.Address = netip.AddrPortFrom(address, rapid.Uint16().Draw(t, "port"))
	}
	for range rapid.IntRange(0, 3).Draw(t, "models") {
		model := Model{Name: rapid.String().Draw(t, "model"), Version: rapid.Int().Draw(t, "version")}
		runner.Models = append(runner.Models, model)
	}
	return runner
}

func TestRunnerEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawRunner(t)
		data := EncodeRunner(want)
		got, err := DecodeRunner(data)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		if _, err := DecodeRunner(data[:cut]); err == nil {
			t.Fatalf("%d bytes of %d were accepted", cut, len(data))
		}
		if _, err := DecodeRunner(append(data, 0)); err == nil {
			t.Fatal("a byte too many was accepted")
		}
	})
}

func FuzzDecodeRunner(f *testing.F) {
	f.Add(EncodeRunner(Runner{}))
	f.Add(EncodeRunner(Runner{
		ID:       "i-1",
		Service:  "s",
		Address:  netip.MustParseAddrPort("10.0.0.1:80"),
		Capacity: 3,
		Models:   []Model{{Name: "m", Version: 1}},
	}))
	f.Fuzz(func(t *testing.T, data []byte) {
		runner, err := DecodeRunner(data)
		if err != nil {
			return
		}
		again, err := DecodeRunner(EncodeRunner(runner))
		if err != nil || !reflect.DeepEqual(again, runner) {
			t.Fatalf("%+v came back as %+v, %v", runner, again, err)
		}
	})
}

func BenchmarkEncodeRunner(b *testing.B) {
	runner := benchmarkRunner()
	b.ReportAllocs()
	for b.Loop() {
		_ = EncodeRunner(runner)
	}
}

func BenchmarkDecodeRunner(b *testing.B) {
	data := EncodeRunner(benchmarkRunner())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeRunner(data); err != nil {
			b.Fatal(err)
		}
	}
}

// benchmarkRunner returns a runner such as most of a deployment's are.
func benchmarkRunner() Runner {
	return Runner{
		ID:                 "i-00e3a1",
		Service:            "engine-large",
		Address:            netip.MustParseAddrPort("10.128.0.9:8080"),
		Zone:               "north-a",
		Capacity:           64,
		SlowStartRemaining: 1500 * time.Millisecond,
		Phase:              "both",
		Models:             []Model{{Name: "model-70b", Version: 3}, {Name: "model-8b", Version: 12}},
	}
}
