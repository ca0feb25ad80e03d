package versions

// NoteKind is what a Note tells.
type NoteKind uint8

// The kinds.
const (
	ListTaken   NoteKind = iota // the own discovery told a version; Facts are workers that it changes
	FactsTold                   // a member told what it knows of workers
	AllKnown                    // a member has told all that it knows up to List.Rev
	NewerKnown                  // a member knows of a newer version, for the first time
	FactDoubted                 // what a member told counts no more
	FellSilent                  // the own discovery says nothing, for Late seconds so far
	SpeaksAgain                 // it speaks again
	ClockHeard                  // a member's clock was Theirs, at most so long ago as its message took
)

// Note is something that a Board took up, for whoever keeps books.
type Note struct {
	Kind         NoteKind
	From         string // who told it; empty: the own discovery
	List         List
	Cached       bool
	Facts        []Fact
	Late, Theirs float64
}

const (
	clockEvery  = 1.0   // seconds between two times that a member tells its clock
	clockGain   = 0.001 // seconds by which a message must have been quicker than those before to be noted
	clockForget = 600.0 // seconds after which those before count no more: clocks drift
)

// hearClock notes a member's clock where its message was quicker than those before.
func (b *Board) hearClock(now float64, from string, p *Peer, theirs float64) {
	if lead := now - theirs; theirs > 0 && (p.leadAt == 0 || lead < p.lead-clockGain || now > p.leadAt+clockForget) {
		p.lead, p.leadAt = lead, now
		b.Note(now, &Note{Kind: ClockHeard, From: from, Theirs: theirs})
	}
}

// listen notes when the own discovery falls silent; it speaks again with Live.
func (b *Board) listen(now float64) {
	if b.heardAt > 0 && !b.muted && now > b.heardAt+liveGap {
		b.muted = true
		b.Note(now, &Note{Kind: FellSilent, Late: now - b.heardAt})
	}
}
