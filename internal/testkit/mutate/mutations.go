package mutate

import (
	"fmt"
	"maps"
	"slices"
)

// duplicateDelay is how much later the second copy of a duplicated message arrives, in seconds.
const duplicateDelay = 0.01

// mutationSet collects the runs that change one message of the recorded run.
type mutationSet struct {
	messages []Message
	index    int // of the message that is changed
	runs     []mutatedRun
}

// add adds a run that replaces the deliveries of the message.
func (s *mutationSet) add(mutation string, deliveries func(m Message) []Delivery) {
	index := s.index
	s.runs = append(s.runs, mutatedRun{index, mutation, func(i int, m Message) []Delivery {
		if i == index {
			return deliveries(m)
		}
		return DeliverUnchanged(i, m)
	}})
}

// mutations returns a run for each mutation of the message at an index.
func mutations(messages []Message, index int, options Options) []mutatedRun {
	s := &mutationSet{messages: messages, index: index}
	s.addTiming(options)
	s.addOrder()
	s.addDestinations(options)
	s.addContents(options)
	return s.runs
}

// addTiming adds runs in which the message is lost, duplicated or delayed.
func (s *mutationSet) addTiming(options Options) {
	s.add("lost", func(m Message) []Delivery { return nil })
	s.add("twice", func(m Message) []Delivery { return []Delivery{{m.To, m.Data, 0}, {m.To, m.Data, duplicateDelay}} })
	for _, delay := range options.Delays {
		s.add(fmt.Sprintf("late %v", delay), func(m Message) []Delivery { return []Delivery{{m.To, m.Data, delay}} })
	}
}

// addOrder adds runs in which the message is overtaken by the next one on its link, or replaced by the one before.
func (s *mutationSet) addOrder() {
	next, previous := s.neighbours()
	if next >= 0 {
		s.runs = append(s.runs, mutatedRun{s.index, "swapped", swap(s.index, next)})
	}
	if previous >= 0 {
		s.add("older", func(m Message) []Delivery { return []Delivery{{m.To, s.messages[previous].Data, 0}} })
	}
}

// neighbours finds the next and the previous message from the same sender to the same receiver; -1 if there is none.
func (s *mutationSet) neighbours() (next, previous int) {
	next, previous = -1, -1
	m := s.messages[s.index]
	for i, other := range s.messages {
		if other.From == m.From && other.To == m.To && i != s.index {
			if i < s.index {
				previous = i
			} else if next < 0 {
				next = i
			}
		}
	}
	return next, previous
}

// swap delivers a message only behind a later one. The tamper function keeps the message from one call to the next, so it
// serves one run at a time.
func swap(index, next int) Tamper {
	var heldBack []Delivery
	return func(i int, m Message) []Delivery {
		if i == 0 { // a run begins
			heldBack = nil
		}
		switch i {
		case index:
			heldBack = DeliverUnchanged(i, m)
			return nil
		case next:
			return append(DeliverUnchanged(i, m), heldBack...)
		}
		return DeliverUnchanged(i, m)
	}
}

// addDestinations adds runs in which the message reaches another member.
func (s *mutationSet) addDestinations(options Options) {
	for _, member := range options.OtherMembers {
		if member != s.messages[s.index].To {
			s.add("elsewhere", func(m Message) []Delivery { return []Delivery{{member, m.Data, 0}} })
		}
	}
}

// addContents adds runs in which the bytes of the message are cut short, damaged or replaced.
func (s *mutationSet) addContents(options Options) {
	original := s.messages[s.index].Data
	s.add("cut", func(m Message) []Delivery { return []Delivery{{m.To, m.Data[:len(m.Data)/2], 0}} })
	for _, offset := range []int{0, len(original) / 3, len(original) - 1} {
		s.add("flipped", func(m Message) []Delivery {
			data := append([]byte(nil), m.Data...)
			if len(data) > 0 {
				data[min(offset, len(data)-1)] ^= 0x10
			}
			return []Delivery{{m.To, data, 0}}
		})
	}
	if options.Variants != nil {
		variants := options.Variants(original)
		for _, name := range slices.Sorted(maps.Keys(variants)) {
			s.add("forged "+name, func(m Message) []Delivery { return []Delivery{{m.To, variants[name], 0}} })
		}
	}
}
