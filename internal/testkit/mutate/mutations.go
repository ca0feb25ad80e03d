package mutate

import (
	"fmt"
	"maps"
	"slices"
)

// mutations are the ways to spoil the n-th message.
func mutations(messages []Message, index int, options Options) (runs []mutatedRun) {
	m := messages[index]
	at := func(mutation string, what func(m Message) []Delivery) {
		runs = append(runs, mutatedRun{index, mutation, func(i int, m Message) []Delivery {
			if i == index {
				return what(m)
			}
			return DeliverUnchanged(i, m)
		}})
	}
	at("lost", func(m Message) []Delivery { return nil })
	at("twice", func(m Message) []Delivery { return []Delivery{{m.To, m.Data, 0}, {m.To, m.Data, 0.01}} })
	for _, late := range options.Delays {
		at(fmt.Sprintf("late %v", late), func(m Message) []Delivery { return []Delivery{{m.To, m.Data, late}} })
	}
	next, older := -1, -1
	for i, other := range messages {
		if other.From == m.From && other.To == m.To && i != index {
			if i < index {
				older = i
			} else if next < 0 {
				next = i
			}
		}
	}
	if next >= 0 { // the next of the same way goes first
		var kept []Delivery
		runs = append(runs, mutatedRun{index, "swapped", nil})
		runs[len(runs)-1].tamper = func(i int, m Message) []Delivery {
			switch i {
			case 0:
				kept = nil
			}
			if i == index {
				kept = DeliverUnchanged(i, m)
				return nil
			}
			if i == next {
				return append(DeliverUnchanged(i, m), kept...)
			}
			return DeliverUnchanged(i, m)
		}
	}
	if older >= 0 {
		at("older", func(m Message) []Delivery { return []Delivery{{m.To, messages[older].Data, 0}} })
	}
	for _, other := range options.OtherMembers {
		if other != m.To {
			at("elsewhere", func(m Message) []Delivery { return []Delivery{{other, m.Data, 0}} })
		}
	}
	at("cut", func(m Message) []Delivery { return []Delivery{{m.To, m.Data[:len(m.Data)/2], 0}} })
	for _, place := range []int{0, len(m.Data) / 3, len(m.Data) - 1} {
		at("flipped", func(m Message) []Delivery {
			data := append([]byte(nil), m.Data...)
			if len(data) > 0 {
				data[min(place, len(data)-1)] ^= 0x10
			}
			return []Delivery{{m.To, data, 0}}
		})
	}
	if options.Variants != nil {
		forged := options.Variants(m.Data)
		for _, what := range slices.Sorted(maps.Keys(forged)) {
			at("forged "+what, func(m Message) []Delivery { return []Delivery{{m.To, forged[what], 0}} })
		}
	}
	return runs
}
