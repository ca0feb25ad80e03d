// Command lonecopy kills two of three control processes, adds to a counter at the third, and then loses that machine's disk. It
// tells whether additions that were acknowledged are missing once all machines are back.
package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"cinderroad/review/rig"
)

const (
	additions   = 40
	earlier     = 10                     // of them: before the disruption
	downFor     = 2 * time.Second        // of the two machines
	silence     = 700 * time.Millisecond // from the kill to the first addition
	pause       = 15 * time.Millisecond  // between two additions
	wipedFor    = 3 * time.Second        // of the third machine
	mergeWithin = 3 * time.Second        // merge_within_ms
	readWithin  = 12 * time.Second       // recovery_s, for the readings at the end
	counterPath = "/-/Tallies.Change/t1" // and that of its total:
	totalPath   = "/-/Tallies.Read/t1"
)

// Results of the case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() { os.Exit(run()) }

func run() int {
	r, err := rig.New(rig.Options{Core: 3, Edges: 1, Promises: []string{"apart"}})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.Close()
	acknowledged, lost, err := play(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.Log("the case can't run: %v", err)
		return failed
	}
	r.Log("additions of 1 that were acknowledged: %d; missing at the end: %d", acknowledged, lost)
	if lost > 0 {
		return broken
	}
	return held
}

// play returns how many additions were acknowledged, and how many of them are missing at the end.
func play(r *rig.Rig, trouble bool) (acknowledged, lost int, err error) {
	services := []rig.Service{{Name: "web", Health: "/health", MaxConns: 100, Protocol: "h1"}}
	if err := r.StartAll(rig.NewConfiguration(1, services, []rig.Route{})); err != nil {
		return 0, 0, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	last, others := r.Core[0], r.Core[1:]
	for i := range earlier {
		acknowledged += add(r, last, i)
	}
	begin := time.Now()
	if trouble {
		if err := kill(others); err != nil {
			return 0, 0, err
		}
	}
	time.Sleep(silence)
	for i := earlier; i < additions; i++ {
		acknowledged += add(r, last, i)
	}
	if trouble {
		err = restart(r, last, others, begin)
	}
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(mergeWithin + readWithin)
	total := 0
	for _, m := range r.Core {
		at, err := read(r, m)
		if err != nil {
			return 0, 0, err
		}
		total = max(total, at)
	}
	return acknowledged, max(0, acknowledged-total), nil
}

func kill(machines []*rig.Machine) error {
	for _, m := range machines {
		if err := m.Signal("control", syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, m := range machines {
		m.Wait("control")
	}
	return nil
}

// restart has the last machine lose its disk, and starts all of them again, the others with their disks.
func restart(r *rig.Rig, last *rig.Machine, others []*rig.Machine, begin time.Time) error {
	if err := kill([]*rig.Machine{last}); err != nil {
		return err
	}
	r.Log("the disk of %s is lost", last.Name)
	wiped := time.Now()
	time.Sleep(time.Until(begin.Add(downFor)))
	for _, m := range others {
		r.Log("%s starts again, with its disk", m.Name)
		if err := m.Start("control", false); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(wiped.Add(wipedFor)))
	r.Log("%s starts again, with an empty disk", last.Name)
	last.NewDisk()
	return last.Start("control", false)
}

// add adds 1 to the counter at a machine, and returns 1 if that was acknowledged.
func add(r *rig.Rig, m *rig.Machine, i int) int {
	time.Sleep(pause)
	body := fmt.Sprintf(`{"id":"add-%04d","changed_by":1}`, i)
	status, err := m.Post(counterPath, 0, []byte(body), time.Second)
	r.Log("application: add-%04d at %s: status %d, %v", i, m.Name, status, err)
	if err == nil && status == http.StatusOK {
		return 1
	}
	return 0
}

// read returns the counter's total at a machine.
func read(r *rig.Rig, m *rig.Machine) (total int, err error) {
	for end := time.Now().Add(readWithin); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		var status int
		if total, status, err = m.Total(totalPath); err == nil && status == http.StatusOK {
			r.Log("application: the total at %s is %d", m.Name, total)
			return total, nil
		}
	}
	return 0, fmt.Errorf("no total of %s: %w", m.Name, err)
}
