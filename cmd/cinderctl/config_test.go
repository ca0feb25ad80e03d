package main

import (
	"testing"

	"cinderroad/internal/system/control/api"
)

func TestConfigCommands(t *testing.T) {
	c := &fakeControl{}
	seed := "--seed=" + c.serve(t)
	call(seed, "config", "read").expect(t, exitRejected, "no configuration yet")
	call(seed, "config", "replace", writeFile(t, "c.json", validDocument)).expect(t, exitOK, "version 3 is acknowledged")
	call(seed, "config", "change", writeFile(t, "d.json", validChange)).expect(t, exitOK, "version 4 is acknowledged")
	if len(c.bodies) != 2 || c.bodies[0] != validDocument || c.bodies[1] != validChange {
		t.Errorf("accepted bodies %q", c.bodies)
	}
	call(seed, "config", "read").expect(t, exitOK, `{"version":4}`)
	call(seed, "--json", "config", "read").expect(t, exitOK, `"version": 4`, `"configuration": {`)
	call(seed, "config", "change", "--based-on", "3", writeFile(t, "d.json", validChange)).
		expect(t, exitRejected, "412", "another version is in force: 4")
}

func TestInvalidConfigurationIsNotSent(t *testing.T) {
	c := &fakeControl{}
	seed := "--seed=" + c.serve(t)
	bad := writeFile(t, "c.json", unknownService)
	call(seed, "config", "replace", bad).expect(t, exitRejected, "was not sent", "routes[0].service")
	if len(c.bodies) != 0 {
		t.Fatalf("accepted bodies %q", c.bodies)
	}
	call(seed, "config", "replace", "--no-check", bad).expect(t, exitOK)
}

func TestDrain(t *testing.T) {
	c := &fakeControl{}
	seed := "--seed=" + c.serve(t)
	call(seed, "drain", "begin", "z").expect(t, exitOK, "zone z is evacuated")
	call(seed, "--json", "drain", "finish", "z").expect(t, exitOK, `"evacuated": false`)
	call(seed, "drain", "begin", "unknown").expect(t, exitRejected, "there is no zone")
	if len(c.drainPaths) != 2 || c.drainPaths[0] != api.PathDrainBegin+"z" || c.drainPaths[1] != api.PathDrainFinish+"z" {
		t.Errorf("calls %q", c.drainPaths)
	}
}
