package main

import "cinderroad/internal/system/control/client"

type drainCommand struct {
	Begin  beginCommand  `cmd:"" name:"begin" help:"Begin an evacuation: the runners of a zone get no new requests."`
	Finish finishCommand `cmd:"" name:"finish" help:"End the evacuation of a zone."`
}

type beginCommand struct {
	Zone string `arg:"" name:"zone" help:"Zone to evacuate."`
}

// Run begins the evacuation of a zone.
func (c *beginCommand) Run(s *session) error { return s.drain(c.Zone, true) }

type finishCommand struct {
	Zone string `arg:"" name:"zone" help:"Evacuated zone."`
}

// Run ends the evacuation of a zone.
func (c *finishCommand) Run(s *session) error { return s.drain(c.Zone, false) }

// drainReport is the acknowledgement of an evacuation or of its end.
type drainReport struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	client.Acknowledgement
}

// drain begins or ends the evacuation of a zone and prints the acknowledgement.
func (s *session) drain(zone string, begin bool) error {
	apiClient, err := s.client()
	if err != nil {
		return err
	}
	acknowledgement, err := apiClient.Drain(s.context, zone, begin)
	if err != nil {
		return s.printProblems(err)
	}
	if s.flags.JSON {
		return s.printJSON(&drainReport{Zone: zone, Evacuated: begin, Acknowledgement: *acknowledgement})
	}
	outcome := "taken back"
	if begin {
		outcome = "evacuated"
	}
	return s.printLine("zone %s is %s, acknowledged by %s (attempt %d)",
		zone, outcome, acknowledgement.Machine, acknowledgement.Attempts)
}
